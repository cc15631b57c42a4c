package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Guards against requests that are sent to engines after their callers have disconnected. */
class DepartedCallerTest {
  /** Longer than a thread may work between two polls of its sockets, in milliseconds. */
  private static final long BUSY_MS = 300;

  private static String answer(String id) {
    return "HTTP/1.1 200 OK\r\nSigned: s\r\nKeep-Alive: timeout=600\r\nCall: "
        + id
        + "\r\nContent-Length: 2\r\n\r\nok";
  }

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

  /** Serves a call, so that the connection to the engine is idle afterwards. */
  private Connection openIdleConnection() throws Exception {
    try (Socket caller = gateway.sendCall("c1")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      Connection connection = engine.accept();
      connection.readRequest();
      connection.write(answer("c1"));
      GatewayFixture.readUntil(caller, "ok");
      return connection;
    }
  }

  /** Keeps the traffic thread busy until the latch is released. */
  private CountDownLatch occupyTrafficThread() throws InterruptedException {
    CountDownLatch occupied = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    gateway.onTrafficThread(
        () -> {
          occupied.countDown();
          try {
            released.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    occupied.await();
    return released;
  }

  private void assertNextRequestIsOf(String id, Connection connection) throws Exception {
    try (Socket caller = gateway.sendCall(id)) {
      gateway.forward(gateway.arrivedCall(), 1, engine, false);
      assertThat(connection.readRequest()).contains(id);
      connection.write(answer(id));
      assertThat(GatewayFixture.readUntil(caller, "ok")).contains("200 OK");
    }
  }

  /** A busy process reads a request and the end of its connection at the same time. */
  @Test
  void requestOfACallerThatLeftBeforeItWasReadIsNotSent() throws Exception {
    Connection connection = openIdleConnection();
    gateway.listen(
        event -> {
          if (event instanceof CallArrived arrived) {
            gateway.forward(arrived.spec().id(), 1, engine, false);
          }
        });
    CountDownLatch released = occupyTrafficThread();
    gateway.sendCall("c2").close();
    released.countDown();
    assertThat(gateway.next(CallCancelled.class)).isNotNull();
    gateway.listen(event -> {});
    assertNextRequestIsOf("c3", connection);
  }

  /** A busy process executes a decision before it polls the socket of the caller again. */
  @Test
  void requestOfACallerThatLeftBeforeTheDecisionWasExecutedIsNotSent() throws Exception {
    Connection connection = openIdleConnection();
    Socket caller = gateway.sendCall("c2");
    long call = gateway.arrivedCall();
    CountDownLatch released = occupyTrafficThread();
    gateway.forward(call, 1, engine, false);
    caller.close();
    TimeUnit.MILLISECONDS.sleep(BUSY_MS);
    released.countDown();
    assertThat(gateway.next(CallCancelled.class)).isNotNull();
    assertNextRequestIsOf("c3", connection);
  }
}
