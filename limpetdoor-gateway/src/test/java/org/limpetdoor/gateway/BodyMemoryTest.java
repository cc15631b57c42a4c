package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.gateway.ControlledEngine.Connection;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.BodyMemories;

/** Tests many long bodies at once, each shorter than the longest one that is allowed. */
class BodyMemoryTest {
  private static final long CAPACITY_BYTES = 1_000_000;

  /** More than half of the memory, but within the limit of a single body. */
  private static final int LONG_BYTES = 700_000;

  private static final String HEAD = "HTTP/1.1 200 OK\r\nSigned: s\r\n\r\n";

  private final BodyMemories memories =
      new BodyMemories(BodyMemory.ofBytes(CAPACITY_BYTES), BodyMemory.ofBytes(CAPACITY_BYTES));
  private final List<Socket> callers = new ArrayList<>();
  private ControlledEngine engine;
  private GatewayFixture gateway;

  @BeforeEach
  void open() throws IOException {
    engine = new ControlledEngine();
    gateway = new GatewayFixture(memories);
  }

  @AfterEach
  void close() throws IOException {
    for (Socket caller : callers) {
      caller.close();
    }
    gateway.close();
    engine.close();
  }

  private Connection forward(String id) throws Exception {
    callers.add(gateway.sendCall(id));
    gateway.forward(gateway.arrivedCall(), 1, engine, false);
    Connection connection = engine.accept();
    connection.readRequest();
    return connection;
  }

  /**
   * Writes a text, the end of which the gateway need not take: it may close the connection first.
   */
  private static void writeUntilClosed(Connection connection, String text) {
    try {
      connection.write(text);
    } catch (IOException e) {
      assertThat(e).hasMessageThat().containsMatch("Broken pipe|reset");
    }
  }

  /** Guards against responses without end of several engines that together fill the memory. */
  @Test
  void responsesWithoutEndLeaveMemoryForAShortOne() throws Exception {
    List<Connection> endless = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      endless.add(forward("endless" + i));
      endless.get(i).write(HEAD);
    }
    for (Connection connection : endless) {
      writeUntilClosed(connection, "x".repeat(LONG_BYTES));
      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.NO_MEMORY);
    }
    Connection sound = forward("sound");
    sound.write(HEAD + "short");
    sound.finish();

    assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
    assertThat(memories.responses().usedBytes()).isEqualTo(0);
  }

  /** Guards against memory that is not free again after an error response was relayed. */
  @Test
  void anErrorResponseIsReleasedWithItsCall() throws Exception {
    Connection connection = forward("failed");
    connection.write("HTTP/1.1 500 No\r\nSigned: s\r\nContent-Length: 5\r\n\r\nerror");
    ForwardEnded ended = gateway.nextEnd();
    assertThat(ended.result()).isEqualTo(ForwardResult.ERROR_ANSWER);
    assertThat(memories.responses().usedBytes()).isEqualTo(5);

    gateway.relayErrorResponse(ended.call(), 1);
    assertThat(GatewayFixture.readUntil(callers.get(0), "error")).startsWith("HTTP/1.1 500");
    awaitTraffic();

    assertThat(memories.responses().usedBytes()).isEqualTo(0);
  }

  /**
   * Waits until the traffic thread has finished what it did when a caller could read a response.
   */
  private void awaitTraffic() throws Exception {
    callers.add(gateway.sendCall("later"));
    gateway.arrivedCall();
  }

  /** Guards against long requests that together fill the memory and end the process. */
  @Test
  void refusesALongRequestWithoutMemoryAndServesAShortOne() throws Exception {
    Socket first = sendBody("first", LONG_BYTES / 2);
    gateway.arrivedCall();

    Socket second = sendBody("second", LONG_BYTES);
    String refusal = GatewayFixture.readUntil(second, "\r\n\r\n");
    assertThat(refusal).startsWith("HTTP/1.1 503");
    assertThat(refusal.toLowerCase(Locale.ROOT)).contains("retry-after: 1");

    callers.add(gateway.sendCall("short"));
    gateway.arrivedCall();
    first.close();
    second.close();
  }

  private Socket sendBody(String id, int lengthBytes) throws IOException {
    Socket socket =
        gateway.send(
            "POST /a HTTP/1.1\r\nHost: h\r\nCall: "
                + id
                + "\r\nContent-Length: "
                + lengthBytes
                + "\r\n\r\n");
    callers.add(socket);
    socket.getOutputStream().write(new byte[lengthBytes]);
    return socket;
  }
}
