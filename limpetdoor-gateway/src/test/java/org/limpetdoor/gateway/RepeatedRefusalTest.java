package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Tests an engine that sends an earlier refusal once more on a connection that is kept open. */
class RepeatedRefusalTest {
  private static final String NO_ID = "";

  private ControlledEngine engine;
  private GatewayFixture gateway;

  @BeforeEach
  void open() throws IOException {
    engine = new ControlledEngine();
    gateway = new GatewayFixture();
  }

  @AfterEach
  void close() throws IOException {
    gateway.close();
    engine.close();
  }

  private static String refusal(int status, String idHeader) {
    return "HTTP/1.1 "
        + status
        + " Refused\r\nNot-Run: 1\r\nKeep-Alive: timeout=600\r\n"
        + idHeader
        + "Content-Length: 4\r\n\r\nbusy";
  }

  private static String answer(String id) {
    return "HTTP/1.1 200 OK\r\nSigned: s\r\n" + id(id) + "Content-Length: 5\r\n\r\nright";
  }

  private static String id(String value) {
    return "Call: " + value + "\r\n";
  }

  /** Sends a call that the engine refuses, and returns the connection, which is idle again. */
  private Connection refuseFirstCall() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      Connection connection = engine.accept();
      connection.readRequest();
      connection.write(refusal(503, id("c1")));
      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.BUSY);
      return connection;
    }
  }

  /** Guards against "not run" for a call that its engine runs, and against a second run of it. */
  @ParameterizedTest
  @ValueSource(strings = {"Call: c1\r\n", NO_ID})
  void copyAfterTheNextRequestIsNotItsAnswer(String idHeader) throws Exception {
    for (int status : new int[] {503, 421}) {
      Connection connection = refuseFirstCall();
      try (Socket caller = gateway.sendCall("c2")) {
        gateway.forward(gateway.arrivedCall(), 1, engine, false);
        connection.readRequest();
        connection.write(refusal(status, idHeader));
        connection.write(answer("c2"));

        assertThat(GatewayFixture.readUntil(caller, "right")).startsWith("HTTP/1.1 200");
        assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      }
      connection.finish();
      assertThat(connection.readByte()).isEqualTo(-1);
    }
  }

  /** Guards against a copy that bears the identifier of the call because the call came back. */
  @Test
  void returningCallIsNotSentOnTheConnectionThatRefusedIt() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      long call = gateway.arrivedCall();
      gateway.forward(call, 1, engine, false);
      Connection refused = engine.accept();
      refused.readRequest();
      refused.write(refusal(503, id("c1")));
      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.BUSY);

      gateway.forward(call, 2, engine, false);
      Connection other = engine.accept();
      other.readRequest();
      refused.write(refusal(503, id("c1")));
      assertThat(refused.readByte()).isEqualTo(-1);
      other.write(answer("c1"));

      assertThat(GatewayFixture.readUntil(caller, "right")).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against a new connection for each call that follows a refusal. */
  @Test
  void otherCallIsSentOnTheConnectionThatRefusedACall() throws Exception {
    Connection connection = refuseFirstCall();
    try (Socket caller = gateway.sendCall("c2")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      assertThat(connection.readRequest()).contains("Call: c2");
      connection.write(answer("c2"));

      assertThat(GatewayFixture.readUntil(caller, "right")).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against a call without an identifier, whose answer looks like a copy. */
  @Test
  void callWithoutIdentifierIsNotSentOnAUsedConnection() throws Exception {
    refuseFirstCall();
    try (Socket caller = gateway.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      Connection connection = engine.accept();
      connection.readRequest();
      connection.write("HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 5\r\n\r\nright");

      assertThat(GatewayFixture.readUntil(caller, "right")).startsWith("HTTP/1.1 200");
    }
  }

  /** Guards against the next call on a connection that has received a copy while it was idle. */
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 30, 60, 200})
  void copyWhileIdleClosesTheConnection(int copiedBytes) throws Exception {
    Connection connection = refuseFirstCall();
    String copy = refusal(503, id("c1"));
    connection.write(copy.substring(0, Math.min(copiedBytes, copy.length())));

    assertThat(connection.readByte()).isEqualTo(-1);
  }

  /** Guards against the next call on a connection that has received more than its answer. */
  @ParameterizedTest
  @ValueSource(ints = {1, 8, 30, 60, 200})
  void copyInThePacketOfTheRefusalClosesTheConnection(int copiedBytes) throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      Connection connection = engine.accept();
      connection.readRequest();
      String copy = refusal(503, id("c1"));
      connection.write(copy + copy.substring(0, Math.min(copiedBytes, copy.length())));

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.BUSY);
      assertThat(connection.readByte()).isEqualTo(-1);
    }
  }

  /** Guards against header lines of a cut copy that are read as those of the answer after it. */
  @Test
  void cutCopyBeforeTheAnswerIsNoRefusal() throws Exception {
    Connection connection = refuseFirstCall();
    try (Socket caller = gateway.sendCall("c2")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      connection.readRequest();
      connection.write("HTTP/1.1 503 Refused\r\nNot-Run: 1\r\n" + answer("c2"));

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.INVALID_ANSWER);
    }
  }

  /** Guards against a skipped copy with a broken body, after which the call would never end. */
  @Test
  void copyWithABrokenBodyEndsTheAttempt() throws Exception {
    Connection connection = refuseFirstCall();
    try (Socket caller = gateway.sendCall("c2")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      connection.readRequest();
      connection.write(
          "HTTP/1.1 503 Refused\r\nNot-Run: 1\r\n"
              + id("c1")
              + "Transfer-Encoding: chunked\r\n\r\nno size\r\n");

      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.INVALID_ANSWER);
    }
  }
}
