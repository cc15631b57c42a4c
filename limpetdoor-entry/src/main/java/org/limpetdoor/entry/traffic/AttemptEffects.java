package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.RawHttpClient;
import io.micronaut.http.client.StreamingHttpClient;
import java.io.IOException;
import java.io.UncheckedIOException;
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
import org.limpetdoor.runtime.BodyMemory;
import reactor.core.publisher.Mono;

/** Executes the effects on requests and their attempts. */
public final class AttemptEffects implements AutoCloseable {
  /** Covers two lost packets; a round trip between zones takes a few milliseconds. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  /** Maximum body size of a response that is relayed as a whole. */
  static final int MAX_RESPONSE_BYTES = 16 << 20;

  private final OpenRequests requests;
  private final StreamingHttpClient client;
  private final RawHttpClient rawClient;
  private final AttemptResources resources;
  private final ConcurrentMap<AttemptId, BackendAttempt> attempts = new ConcurrentHashMap<>();

  /**
   * Creates a handler.
   *
   * @param requests registry of the open requests
   * @param scheduler executor for calls and timeouts
   * @param responseMemory memory that the buffered responses share
   * @param events receives an event as a function of its time in monotonic milliseconds
   */
  public AttemptEffects(
      OpenRequests requests,
      ScheduledExecutorService scheduler,
      BodyMemory responseMemory,
      Consumer<Function<Long, Event>> events) {
    this.requests = requests;
    EngineConnections connections = new EngineConnections();
    this.client = connections.createClient(clientConfiguration());
    this.rawClient = connections.createClient(clientConfiguration());
    this.resources =
        new AttemptResources(
            client,
            rawClient,
            connections,
            scheduler,
            responseMemory,
            event -> events.accept(event));
  }

  void dispatchAttempt(DispatchAttempt effect) {
    Optional<OpenRequest> request = requests.find(effect.attempt().request());
    if (request.isEmpty()) {
      return;
    }
    BackendAttempt attempt = BackendAttempt.of(effect, request.get(), resources);
    attempts.put(effect.attempt(), attempt);
    attempt.onEnd(() -> attempts.remove(effect.attempt()));
    request.get().startAttempt(attempt);
    resources.scheduler().execute(attempt::start);
  }

  void cancelAttempt(CancelAttempt effect) {
    BackendAttempt attempt = attempts.get(effect.attempt());
    if (attempt == null) {
      return;
    }
    attempt.cancel();
    resources.scheduler().execute(() -> sendCancel(attempt));
  }

  void changePriority(ChangePriority effect) {
    BackendAttempt attempt = attempts.get(effect.attempt());
    if (attempt != null) {
      resources.scheduler().execute(() -> sendPriority(attempt, effect.enginePriority()));
    }
  }

  void refuseRequest(RefuseRequest effect) {
    requests.find(effect.request()).ifPresent(request -> refuse(request, effect));
  }

  @Override
  public void close() {
    attempts.values().forEach(BackendAttempt::cancel);
    client.close();
    closeRawClient();
  }

  private void closeRawClient() {
    try {
      rawClient.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void refuse(OpenRequest request, RefuseRequest effect) {
    String target = request.spec().target().label();
    request.refuse(Problem.of(effect.refusal(), target));
  }

  /** Frees the slot of the engine sooner than its detection of the closed connection does. */
  private void sendCancel(BackendAttempt attempt) {
    sendIgnoringResponse(HttpRequest.DELETE(attemptUri(attempt)));
  }

  private void sendPriority(BackendAttempt attempt, int enginePriority) {
    sendIgnoringResponse(
        HttpRequest.PUT(attemptUri(attempt) + "/priority", "")
            .header("Limpetdoor-Priority", String.valueOf(enginePriority)));
  }

  /** Ignores the response: if the call is lost, the attempt continues unchanged. */
  private void sendIgnoringResponse(HttpRequest<?> call) {
    Mono.from(client.exchange(call)).subscribe(response -> {}, error -> {});
  }

  private static String attemptUri(BackendAttempt attempt) {
    String id = URLEncoder.encode(attempt.id().toString(), StandardCharsets.UTF_8);
    return "http://" + attempt.address() + "/v1/attempts/" + id;
  }

  private static DefaultHttpClientConfiguration clientConfiguration() {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(null);
    configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
    configuration.setFollowRedirects(false);
    return configuration;
  }
}
