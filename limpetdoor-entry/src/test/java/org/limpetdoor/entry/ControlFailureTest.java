package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.InputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.RequestArrived;

/**
 * Verifies how open requests end after the reducer has thrown. The drain timeout of the settings
 * exceeds the time limit of the tests, so a test that waits for it fails.
 */
@Timeout(60)
final class ControlFailureTest {
  private static final int SLOTS_OF_BOTH_ENGINES = 8;

  private final HttpClient http = HttpClient.newHttpClient();
  private final CountDownLatch release = new CountDownLatch(1);
  private FakeEngine first;
  private FakeEngine second;
  private EntryServer server;

  @BeforeEach
  void startEngines() throws Exception {
    first = new FakeEngine();
    second = new FakeEngine();
    first.holdAfterFirstToken(release);
    second.holdAfterFirstToken(release);
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
    server.close();
  }

  /** Guards against requests without an attempt that hang until the drain timeout. */
  @Test
  void requestsWithoutAttemptAreRefusedAndStreamsComplete() throws Exception {
    CountDownLatch queued = new CountDownLatch(SLOTS_OF_BOTH_ENGINES + 1);
    startServer(new FailingReducer(queued));
    List<HttpResponse<InputStream>> streams = new ArrayList<>();
    for (int i = 0; i < SLOTS_OF_BOTH_ENGINES; i++) {
      streams.add(http.send(request(true), BodyHandlers.ofInputStream()));
    }
    CompletableFuture<HttpResponse<String>> waiting = send(true);
    queued.await();

    assertRefused(send(true).get(), 503, "control_failed", "not_run");
    assertRefused(waiting.get(), 503, "control_failed", "not_run");
    release.countDown();

    for (HttpResponse<InputStream> stream : streams) {
      String body = new String(stream.body().readAllBytes(), UTF_8);
      FakeEngine.TOKENS.forEach(token -> assertThat(body).contains("\"" + token + "\""));
      assertThat(body.strip()).endsWith("data: [DONE]");
    }
    assertThat(server.drained().get()).isEqualTo(DrainResult.ALL_ENDED);
    assertThat(server.exitCode(DrainResult.ALL_ENDED)).isEqualTo(3);
  }

  /** Guards against a stream that hangs or seems complete if its engine fails after the reducer. */
  @Test
  void brokenStreamEndsWithUnknownOutcome() throws Exception {
    first.breakAt(3);
    CountDownLatch dispatched = new CountDownLatch(1);
    startServer(new FailingReducer(dispatched));
    HttpResponse<InputStream> stream = http.send(request(true), BodyHandlers.ofInputStream());
    dispatched.await();
    assertThat(send(true).get().statusCode()).isEqualTo(503);
    release.countDown();

    String body = new String(stream.body().readAllBytes(), UTF_8);

    assertThat(body).contains("event: error");
    assertThat(body).contains("\"outcome\":\"unknown\"");
    assertThat(body).doesNotContain("[DONE]");
    assertThat(server.drained().get()).isEqualTo(DrainResult.ALL_ENDED);
  }

  /** Guards against an unknown outcome of a call that the engine reports as not started. */
  @Test
  void callNotStartedIsRefusedAsNotRun() throws Exception {
    first.refuseWith(503, true);
    CountDownLatch dispatched = new CountDownLatch(1);
    startServer(new FailingReducer(dispatched));
    CompletableFuture<HttpResponse<String>> call = send(false);
    dispatched.await();
    assertThat(send(false).get().statusCode()).isEqualTo(503);
    release.countDown();

    assertRefused(call.get(), 503, "control_failed", "not_run");
  }

  private void startServer(FailingReducer reducer) throws Exception {
    FixedLog log = new FixedLog(Fixtures.configuration(first, second));
    server = EntryServer.start(Fixtures.settings(), log, reducer);
    log.awaitSubmitted();
  }

  private CompletableFuture<HttpResponse<String>> send(boolean stream) {
    return http.sendAsync(request(stream), BodyHandlers.ofString());
  }

  private HttpRequest request(boolean stream) {
    String body =
        "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}],\"stream\":"
            + stream
            + "}";
    return HttpRequest.newBuilder(
            URI.create("http://" + server.callerAddress() + "/v1/chat/completions"))
        .version(HttpClient.Version.HTTP_1_1)
        .header("Authorization", "Bearer " + Fixtures.KEY)
        .POST(BodyPublishers.ofString(body))
        .header("Content-Type", "application/json")
        .build();
  }

  private static void assertRefused(
      HttpResponse<String> response, int status, String kind, String outcome) {
    assertThat(response.statusCode()).isEqualTo(status);
    assertThat(response.body()).contains("\"urn:limpetdoor:problem:" + kind + "\"");
    assertThat(response.body()).contains("\"outcome\":\"" + outcome + "\"");
  }

  /** Handles as many arrivals as the latch counts and throws on the next one. */
  private record FailingReducer(CountDownLatch arrivals)
      implements Reducer<NodeState, Event, Effect> {
    @Override
    public Transition<NodeState, Effect> reduce(NodeState state, Event event) {
      boolean arrival = event instanceof RequestArrived;
      if (arrival && arrivals.getCount() == 0) {
        throw new IllegalStateException("injected");
      }
      Transition<NodeState, Effect> next = new NodeReducer().reduce(state, event);
      if (arrival) {
        arrivals.countDown();
      }
      return next;
    }
  }
}
