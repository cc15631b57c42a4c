package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.StreamingHttpClient;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.effect.CancelAttempt;
import org.limpetdoor.core.effect.ChangePriority;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.id.AttemptId;
import reactor.core.publisher.Mono;

/** Carries out the effects that concern requests and their attempts. */
public final class UpstreamEffects implements AutoCloseable {
  /** Zones are a few milliseconds apart; two lost packets are still covered. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Longest answer that is passed on as a whole. */
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  private final OpenRequests requests;
  private final StreamingHttpClient client;
  private final Upstream upstream;
  private final ConcurrentMap<AttemptId, UpstreamAttempt> attempts = new ConcurrentHashMap<>();

  /**
   * Creates a handler.
   *
   * @param requests the open requests
   * @param scheduler opens calls and runs timeouts
   * @param events where observations are reported
   */
  public UpstreamEffects(
      OpenRequests requests,
      ScheduledExecutorService scheduler,
      Consumer<Function<Long, Event>> events) {
    this.requests = requests;
    this.client = StreamingHttpClient.create(null, clientConfiguration());
    this.upstream = new Upstream(client, scheduler, event -> events.accept(event));
  }

  void dispatchAttempt(DispatchAttempt effect) {
    Optional<OpenRequest> request = requests.find(effect.attempt().request());
    if (request.isEmpty()) {
      return;
    }
    UpstreamAttempt attempt = UpstreamAttempt.of(effect, request.get(), upstream);
    attempts.put(effect.attempt(), attempt);
    attempt.onEnd(() -> attempts.remove(effect.attempt()));
    request.get().begin(attempt);
    upstream.scheduler().execute(attempt::start);
  }

  void cancelAttempt(CancelAttempt effect) {
    UpstreamAttempt attempt = attempts.get(effect.attempt());
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    upstream.scheduler().execute(() -> sendCancel(attempt));
  }

  void changePriority(ChangePriority effect) {
    UpstreamAttempt attempt = attempts.get(effect.attempt());
    if (attempt != null) {
      upstream.scheduler().execute(() -> sendPriority(attempt, effect.enginePriority()));
    }
  }

  void refuseRequest(RefuseRequest effect) {
    requests.find(effect.request()).ifPresent(request -> refuse(request, effect));
  }

  @Override
  public void close() {
    attempts.values().forEach(UpstreamAttempt::cancel);
    client.close();
  }

  private void refuse(OpenRequest request, RefuseRequest effect) {
    String target = request.spec().target().label();
    request.refuse(Problem.of(effect.refusal(), target));
  }

  /** The engine also sees the closed connection; the order frees its slot sooner. */
  private void sendCancel(UpstreamAttempt attempt) {
    send(HttpRequest.DELETE(attemptUri(attempt)));
  }

  private void sendPriority(UpstreamAttempt attempt, int enginePriority) {
    send(
        HttpRequest.PUT(attemptUri(attempt) + "/priority", "")
            .header("Limpetdoor-Priority", String.valueOf(enginePriority)));
  }

  /** The answer does not matter: an order that is lost leaves the attempt as it was. */
  private void send(HttpRequest<?> order) {
    Mono.from(client.exchange(order)).subscribe(answer -> {}, error -> {});
  }

  private static String attemptUri(UpstreamAttempt attempt) {
    String id = URLEncoder.encode(attempt.id().toString(), StandardCharsets.UTF_8);
    return "http://" + attempt.address() + "/v1/attempts/" + id;
  }

  private static DefaultHttpClientConfiguration clientConfiguration() {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(null);
    configuration.setMaxContentLength(MAX_ANSWER_BYTES);
    configuration.setFollowRedirects(false);
    return configuration;
  }
}
