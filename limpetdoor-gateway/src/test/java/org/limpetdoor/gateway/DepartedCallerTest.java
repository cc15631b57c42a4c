package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.gateway.ControlledEngine.Connection;

/** Guards against requests that are sent to engines after their callers have disconnected. */
class DepartedCallerTest {
  private static String answer(String id) {
    return "HTTP/1.1 200 OK\r\nSigned: s\r\nKeep-Alive: timeout=600\r\nCall: "
        + id
        + "\r\nContent-Length: 2\r\n\r\nok";
  }

  /** A busy process reads a request and the end of its connection at the same time. */
  @Test
  void requestOfACallerThatLeftWhileTheTrafficThreadWasBusyIsNotSent() throws Exception {
    try (ControlledEngine engine = new ControlledEngine();
        GatewayFixture gateway = new GatewayFixture()) {
      gateway.listen(
          event -> {
            if (event instanceof CallArrived arrived) {
              gateway.forward(arrived.spec().id(), 1, engine, false);
            }
          });
      Connection connection;
      try (Socket caller = gateway.sendCall("c1")) {
        connection = engine.accept();
        connection.readRequest();
        connection.write(answer("c1"));
        GatewayFixture.readUntil(caller, "ok");
      }
      CountDownLatch left = new CountDownLatch(1);
      gateway.onTrafficThread(
          () -> {
            try {
              left.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      gateway.sendCall("c2").close();
      left.countDown();
      assertThat(gateway.next(CallCancelled.class)).isNotNull();
      try (Socket caller = gateway.sendCall("c3")) {
        assertThat(connection.readRequest()).contains("c3");
        connection.write(answer("c3"));
        assertThat(GatewayFixture.readUntil(caller, "ok")).contains("200 OK");
      }
    }
  }
}
