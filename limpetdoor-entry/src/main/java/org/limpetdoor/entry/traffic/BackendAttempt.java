package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.AttemptStarted;
import org.limpetdoor.core.event.BackendLoadReported;
import org.limpetdoor.core.gateway.EngineExchange;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.AttemptFailure;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.runtime.decision.LogLine;

/** An attempt to run a request on a back end. Reports at most one final event. */
abstract class BackendAttempt {
  private static final Logger LOG = System.getLogger(BackendAttempt.class.getName());
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;

  /** Names the attempt, in requests and in responses to them. */
  static final String ATTEMPT_HEADER = "Limpetdoor-Attempt";

  /** Names the token at which a stream starts, in requests and in responses to them. */
  static final String RESUME_HEADER = "Limpetdoor-Resume-At";

  private final DispatchAttempt dispatch;
  private final OpenRequest request;
  private final AttemptResources resources;
  private final AtomicBoolean started = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile ScheduledFuture<?> timeout;
  private volatile Runnable onEnd = () -> {};

  BackendAttempt(DispatchAttempt dispatch, OpenRequest request, AttemptResources resources) {
    this.dispatch = dispatch;
    this.request = request;
    this.resources = resources;
  }

  static BackendAttempt of(
      DispatchAttempt dispatch, OpenRequest request, AttemptResources resources) {
    return request.call().mode().streamed()
        ? new TokenStreamAttempt(dispatch, request, resources)
        : new BufferedResponseAttempt(dispatch, request, resources);
  }

  final AttemptId id() {
    return dispatch.attempt();
  }

  /** Returns the token at which the engine is to resume a stream; 0 for its beginning. */
  final int resumeAtToken() {
    return dispatch.resumeAtToken();
  }

  final String address() {
    return dispatch.address();
  }

  /** Sets the action to run when the attempt ends. Must be called before {@link #start()}. */
  final void onEnd(Runnable action) {
    onEnd = action;
  }

  /** Starts the call unless the attempt was cancelled. */
  final void start() {
    if (ended.get()) {
      return;
    }
    scheduleCheck(firstCheckDelayMs());
    Optional<MutableHttpRequest<Object>> outgoing = buildRequest();
    outgoing.ifPresent(this::sendRequest);
  }

  /** Ends the attempt without an event, since the reducer requested it or ignores the attempt. */
  final void cancel() {
    if (markEnded()) {
      closeCall();
    }
  }

  /** Returns the delay of the first timeout check in milliseconds. */
  long firstCheckDelayMs() {
    return dispatch.firstByteTimeoutMs();
  }

  /** Sends the request. */
  abstract void sendRequest(MutableHttpRequest<Object> outgoing);

  /** Cancels the subscription to the response. */
  abstract void close();

  /** Fails the attempt or schedules the next check. Called when a check is due. */
  abstract void checkTimeout();

  /** Resumes reading after the caller has drained its event buffer. */
  abstract void resumeReading();

  final OpenRequest request() {
    return request;
  }

  final AttemptResources resources() {
    return resources;
  }

  final boolean hasEnded() {
    return ended.get();
  }

  final boolean hasStarted() {
    return started.get();
  }

  final void scheduleCheck(long delayMs) {
    timeout = resources.scheduler().schedule(this::checkIfRunning, delayMs, TimeUnit.MILLISECONDS);
    if (ended.get()) {
      timeout.cancel(false);
    }
  }

  final void reportStarted(HttpHeaders headers) {
    if (started.compareAndSet(false, true)) {
      resources.report(atMs -> new AttemptStarted(atMs, id()));
      reportLoad(headers);
    }
  }

  final void completed(int outputTokens) {
    if (markEnded()) {
      resources.report(atMs -> new AttemptCompleted(atMs, id(), outputTokens));
    }
  }

  final void failed(AttemptFailure failure) {
    if (markEnded()) {
      int delivered = request.deliveredTokens();
      resources.report(atMs -> new AttemptFailed(atMs, id(), failure, delivered));
      request.attemptFailed(id(), failure);
      logFailure(failure, delivered);
      closeCall();
    }
  }

  final void failed(Throwable error) {
    if (error instanceof HttpClientResponseException responseError) {
      handleErrorResponse(
          responseError.getResponse(), new ReceivedBody(resources.responseMemory()));
    } else {
      failed(FailureClassifier.classify(error));
    }
  }

  /** Fails the attempt as not sent if the request cannot be built. */
  private Optional<MutableHttpRequest<Object>> buildRequest() {
    try {
      return Optional.of(httpRequest());
    } catch (RuntimeException e) {
      LOG.log(
          Level.WARNING, LogLine.event("request_not_built").with("attempt", id()).toString(), e);
      failed(AttemptFailure.NOT_SENT);
      return Optional.empty();
    }
  }

  private MutableHttpRequest<Object> httpRequest() {
    BackendCall call = request.call();
    String uri = "http://" + dispatch.address() + call.pathAndQuery();
    MutableHttpRequest<Object> outgoing = HttpRequest.create(call.method(), uri);
    call.headers().forEach((name, values) -> values.forEach(value -> outgoing.header(name, value)));
    outgoing.header(ATTEMPT_HEADER, id().toString());
    outgoing.header("Limpetdoor-Priority", String.valueOf(dispatch.enginePriority()));
    outgoing.header(RESUME_HEADER, String.valueOf(dispatch.resumeAtToken()));
    return outgoing;
  }

  private void checkIfRunning() {
    if (!ended.get()) {
      checkTimeout();
    }
  }

  private void closeCall() {
    close();
    resources.connections().close(id());
  }

  private boolean markEnded() {
    if (!ended.compareAndSet(false, true)) {
      return false;
    }
    ScheduledFuture<?> pending = timeout;
    if (pending != null) {
      pending.cancel(false);
    }
    onEnd.run();
    return true;
  }

  private void logFailure(AttemptFailure failure, int delivered) {
    LogLine line =
        LogLine.event("attempt_failed")
            .with("request", id().request())
            .with("attempt", id().number())
            .with("backend", dispatch.backend())
            .with("failure", failure.name().toLowerCase(Locale.ROOT))
            .with("delivered_tokens", delivered);
    LOG.log(Level.INFO, line.toString());
  }

  private void reportLoad(HttpHeaders headers) {
    LoadHeader.parse(headers.get("Limpetdoor-Load"))
        .ifPresent(
            load ->
                resources.report(
                    atMs ->
                        new BackendLoadReported(
                            atMs, dispatch.backend(), load.running(), load.queued())));
  }

  /**
   * Handles a response with an error status. A busy or draining back end reports that it did not
   * start the call, so another back end may run it. This is believed only in a response that names
   * the attempt, since an engine may send an earlier refusal again. Any other 4xx status concerns
   * the request itself, which another back end would refuse as well.
   *
   * @param body the body of the response, whose memory the request may take over
   */
  final void handleErrorResponse(HttpResponse<?> response, ReceivedBody body) {
    boolean notStarted = "true".equals(response.getHeaders().get("Limpetdoor-Not-Started"));
    if (isForOtherAttempt(response.getHeaders())
        || (notStarted && !echoesAttempt(response.getHeaders()))) {
      failed(AttemptFailure.ERROR_ANSWER);
      return;
    }
    boolean concernsRequest =
        response.code() < SERVER_ERROR && response.code() != TOO_MANY_REQUESTS;
    reportLoad(response.getHeaders());
    if (notStarted && !concernsRequest) {
      failed(AttemptFailure.NOT_STARTED);
    } else if (request.call().mode().relaysErrorResponses()) {
      relayResponse(toCallerResponse(response), 0, body);
    } else if (response.code() < SERVER_ERROR) {
      relayResponse(engineProblem(response.code(), notStarted).toResponse(), 0, body);
    } else {
      failed(AttemptFailure.ERROR_ANSWER);
    }
  }

  /** Returns whether a response names another attempt, which an engine may have sent again. */
  final boolean isForOtherAttempt(HttpHeaders headers) {
    return headers.contains(ATTEMPT_HEADER) && !echoesAttempt(headers);
  }

  /**
   * Returns whether a response names this attempt. The client does not tell whether the connection
   * has carried an earlier call, so only the identifier shows that a response is no copy.
   */
  private boolean echoesAttempt(HttpHeaders headers) {
    EngineExchange exchange = new EngineExchange(Optional.of(id().toString()), true, false);
    return exchange.ownsResponse(Optional.ofNullable(headers.get(ATTEMPT_HEADER)));
  }

  /**
   * Relays a whole response.
   *
   * @param body its body, whose memory the request takes over with the response
   */
  final void relayResponse(MutableHttpResponse<?> response, int outputTokens, ReceivedBody body) {
    if (request.responseStarted()) {
      failed(AttemptFailure.ERROR_ANSWER);
    } else if (request.sendResponse(id(), response, body)) {
      completed(outputTokens);
    } else {
      cancel();
    }
  }

  static MutableHttpResponse<?> toCallerResponse(HttpResponse<?> response) {
    ByteBuf content = contentOf(response);
    MutableHttpResponse<ByteBuf> outgoing =
        HttpResponse.<ByteBuf>status(response.code(), response.reason());
    ForwardedHeaders.toCaller(response.getHeaders())
        .forEach((name, values) -> values.forEach(value -> outgoing.header(name, value)));
    return content.isReadable() ? outgoing.body(content) : outgoing;
  }

  /** Returns the body as a buffer; the server would copy an array out of the heap. */
  private static ByteBuf contentOf(HttpResponse<?> response) {
    return response.body() instanceof ByteBuf content
        ? content
        : Unpooled.wrappedBuffer(response.getBody(byte[].class).orElse(new byte[0]));
  }

  private static Problem engineProblem(int status, boolean notStarted) {
    Outcome outcome = notStarted ? Outcome.NOT_RUN : Outcome.RAN;
    return Problem.of(
        status, "engine_refused", "The engine answered with status " + status, outcome);
  }
}
