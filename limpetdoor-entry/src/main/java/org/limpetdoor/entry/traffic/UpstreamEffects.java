package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.StreamingHttpClient;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
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
import org.limpetdoor.core.effect.EffectHandler;
import org.limpetdoor.core.effect.FinishRequest;
import org.limpetdoor.core.effect.RaiseQueueAgeAlarm;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RefuseRequest;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.runtime.decision.DecisionRecorder;
import org.limpetdoor.runtime.decision.LogLine;
import reactor.core.publisher.Mono;

/** Carries out the effects of the reducer on the traffic side. */
public final class UpstreamEffects implements EffectHandler, AutoCloseable {
  /** Zones are a few milliseconds apart; two lost packets are still covered. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Longest answer that is passed on as a whole. */
  private static final int MAX_ANSWER_BYTES = 16 << 20;

  private static final Logger LOG = System.getLogger(UpstreamEffects.class.getName());

  private final OpenRequests requests;
  private final DecisionRecorder decisions;
  private final StreamingHttpClient client;
  private final Upstream upstream;
  private final ConcurrentMap<AttemptId, UpstreamAttempt> attempts = new ConcurrentHashMap<>();

  /**
   * Creates a handler.
   *
   * @param requests the open requests
   * @param decisions records decisions
   * @param scheduler opens calls and runs timeouts
   * @param events where observations are reported
   */
  public UpstreamEffects(
      OpenRequests requests,
      DecisionRecorder decisions,
      ScheduledExecutorService scheduler,
      Consumer<Function<Long, Event>> events) {
    this.requests = requests;
    this.decisions = decisions;
    this.client = StreamingHttpClient.create(null, clientConfiguration());
    this.upstream = new Upstream(client, scheduler, event -> events.accept(event));
  }

  @Override
  public void dispatchAttempt(DispatchAttempt effect) {
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

  @Override
  public void cancelAttempt(CancelAttempt effect) {
    UpstreamAttempt attempt = attempts.get(effect.attempt());
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    upstream.scheduler().execute(() -> sendCancel(attempt));
  }

  @Override
  public void changePriority(ChangePriority effect) {
    UpstreamAttempt attempt = attempts.get(effect.attempt());
    if (attempt != null) {
      upstream.scheduler().execute(() -> sendPriority(attempt, effect.enginePriority()));
    }
  }

  @Override
  public void finishRequest(FinishRequest effect) {
    // The request leaves the registry when the caller has read the last byte.
  }

  @Override
  public void refuseRequest(RefuseRequest effect) {
    requests.find(effect.request()).ifPresent(request -> refuse(request, effect));
  }

  @Override
  public void recordDecision(RecordDecision effect) {
    decisions.record(effect.decision());
  }

  @Override
  public void raiseQueueAgeAlarm(RaiseQueueAgeAlarm effect) {
    LOG.log(Level.WARNING, LogLine.of(effect.alarm()).toString());
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
