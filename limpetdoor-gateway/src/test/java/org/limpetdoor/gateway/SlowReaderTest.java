package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.gateway.ControlledEngine.Connection;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.BodyMemories;

/** Tests a stream whose caller does not read for a while. */
class SlowReaderTest {
  private static final long CAPACITY_BYTES = 16_000;

  /** Bytes of one read from an engine, all of which are relayed before the next one. */
  private static final long READ_BYTES = 64 << 10;

  /** Longer than the buffers of all sockets between engine and caller. */
  private static final int EVENTS = 30_000;

  private static final String EVENT = "data: " + "x".repeat(1_000) + "\n\n";
  private static final String HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Type: text/event-stream\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";
  private static final long POLL_MS = 20;
  private static final int STANDSTILL_POLLS = 100;

  private final AtomicInteger sentEvents = new AtomicInteger();

  private final BodyMemories memories =
      new BodyMemories(BodyMemory.ofBytes(CAPACITY_BYTES), BodyMemory.ofBytes(CAPACITY_BYTES));

  /** Guards against events in memory without bound, and against a stream that stays suspended. */
  @Test
  @Timeout(120)
  void theEngineIsNotReadFromWithoutMemoryAndTheStreamIsCompleted() throws Exception {
    try (ControlledEngine engine = new ControlledEngine();
        GatewayFixture gateway = new GatewayFixture(memories);
        Socket caller =
            gateway.send("GET /a HTTP/1.1\r\nHost: h\r\nCall: c\r\nConnection: close\r\n\r\n")) {
      gateway.forward(gateway.arrivedCall(), 1, engine, true);
      Connection connection = engine.accept();
      connection.readRequest();
      CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> sendEvents(connection));
      awaitStandstill();
      assertThat(sentEvents.get()).isLessThan(EVENTS);
      assertThat(memories.responses().usedBytes()).isGreaterThan(0);
      assertThat(memories.responses().usedBytes()).isAtMost(CAPACITY_BYTES + READ_BYTES);

      String stream = GatewayFixture.readAll(caller);

      assertThat(stream.split("data: ", -1)).hasLength(EVENTS + 1);
      assertThat(gateway.nextEnd().result()).isEqualTo(ForwardResult.COMPLETED);
      assertThat(memories.responses().usedBytes()).isEqualTo(0);
      sent.join();
    }
  }

  /** Waits until the engine has sent nothing for some time, because nobody reads from it. */
  private void awaitStandstill() throws InterruptedException {
    int polls = 0;
    int last = 0;
    while (polls < STANDSTILL_POLLS) {
      TimeUnit.MILLISECONDS.sleep(POLL_MS);
      int now = sentEvents.get();
      polls = now > 0 && now == last ? polls + 1 : 0;
      last = now;
    }
  }

  private void sendEvents(Connection connection) {
    String chunk = Integer.toHexString(EVENT.length()) + "\r\n" + EVENT + "\r\n";
    try {
      connection.write(HEAD);
      for (int i = 0; i < EVENTS; i++) {
        connection.write(chunk);
        sentEvents.incrementAndGet();
      }
      connection.write("0\r\n\r\n");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
