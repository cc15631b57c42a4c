package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
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
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.AttemptFailure;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.runtime.decision.LogLine;

/** An attempt to run a request on a back end. Reports at most one final event. */
abstract class BackendAttempt {
  private static final Logger LOG = System.getLogger(BackendAttempt.class.getName());
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;

  private final DispatchAttempt dispatch;
  private final OpenRequest request;
  private final AttemptResources upstream;
  private final AtomicBoolean started = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();
  private volatile ScheduledFuture<?> timeout;
  private volatile Runnable onEnd = () -> {};

  BackendAttempt(DispatchAttempt dispatch, OpenRequest request, AttemptResources upstream) {
    this.dispatch = dispatch;
    this.request = request;
    this.upstream = upstream;
  }

  static BackendAttempt of(DispatchAttempt dispatch, OpenRequest request, AttemptResources upstream) {
    return request.call().mode().streamed()
        ? new TokenStreamAttempt(dispatch, request, upstream)
        : new BufferedResponseAttempt(dispatch, request, upstream);
  }

  final AttemptId id() {
    return dispatch.attempt();
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
    scheduleCheck(firstCheckMs());
    Optional<MutableHttpRequest<Object>> out = buildRequest();
    out.ifPresent(this::call);
  }

  /** Ends the attempt without an event, since the reducer requested it or ignores the attempt. */
  final void cancel() {
    if (end()) {
      close();
    }
  }

  /** Returns the delay of the first timeout check in milliseconds. */
  long firstCheckMs() {
    return dispatch.firstByteTimeoutMs();
  }

  /** Sends the request. */
  abstract void call(MutableHttpRequest<Object> out);

  /** Closes the connection of the call. */
  abstract void close();

  /** Fails the attempt or schedules the next check. Called when a check is due. */
  abstract void checkTimeout();

  /** Resumes reading after the caller has drained its event buffer. */
  abstract void callerReady();

  final OpenRequest request() {
    return request;
  }

  final AttemptResources upstream() {
    return upstream;
  }

  final boolean hasEnded() {
    return ended.get();
  }

  final boolean hasStarted() {
    return started.get();
  }

  final void scheduleCheck(long delayMs) {
    timeout = upstream.scheduler().schedule(this::checkIfRunning, delayMs, TimeUnit.MILLISECONDS);
    if (ended.get()) {
      timeout.cancel(false);
    }
  }

  final void noteStarted(HttpHeaders headers) {
    if (started.compareAndSet(false, true)) {
      upstream.report(atMs -> new AttemptStarted(atMs, id()));
      noteLoad(headers);
    }
  }

  final void completed(int outputTokens) {
    if (end()) {
      upstream.report(atMs -> new AttemptCompleted(atMs, id(), outputTokens));
    }
  }

  final void failed(AttemptFailure failure) {
    if (end()) {
      int delivered = request.deliveredTokens();
      upstream.report(atMs -> new AttemptFailed(atMs, id(), failure, delivered));
      request.attemptFailed(id(), failure);
      logFailure(failure, delivered);
      close();
    }
  }

  final void failed(Throwable error) {
    if (error instanceof HttpClientResponseException answer) {
      errorAnswer(answer.getResponse());
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
    MutableHttpRequest<Object> out = HttpRequest.create(call.method(), uri);
    call.headers().forEach((name, values) -> values.forEach(value -> out.header(name, value)));
    out.header("Limpetdoor-Attempt", id().toString());
    out.header("Limpetdoor-Priority", String.valueOf(dispatch.enginePriority()));
    out.header("Limpetdoor-Resume-At", String.valueOf(dispatch.resumeAtToken()));
    return out;
  }

  private void checkIfRunning() {
    if (!ended.get()) {
      checkTimeout();
    }
  }

  private boolean end() {
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

  private void noteLoad(HttpHeaders headers) {
    LoadHeader.parse(headers.get("Limpetdoor-Load"))
        .ifPresent(
            load ->
                upstream.report(
                    atMs ->
                        new BackendLoadReported(
                            atMs, dispatch.backend(), load.running(), load.queued())));
  }

  /**
   * Handles a response with an error status. A busy or draining back end reports that it did not
   * start the call, so another back end may run it. Any other 4xx status concerns the request
   * itself, which another back end would refuse as well.
   */
  final void errorAnswer(HttpResponse<?> answer) {
    boolean notStarted = "true".equals(answer.getHeaders().get("Limpetdoor-Not-Started"));
    boolean aboutRequest = answer.code() < SERVER_ERROR && answer.code() != TOO_MANY_REQUESTS;
    noteLoad(answer.getHeaders());
    if (notStarted && !aboutRequest) {
      failed(AttemptFailure.NOT_STARTED);
    } else if (request.call().mode().relaysErrorResponses()) {
      answerWhole(wholeResponse(answer), 0);
    } else if (answer.code() < SERVER_ERROR) {
      answerWhole(engineProblem(answer.code(), notStarted).toResponse(), 0);
    } else {
      failed(AttemptFailure.ERROR_ANSWER);
    }
  }

  final void answerWhole(MutableHttpResponse<?> whole, int outputTokens) {
    if (request.responseStarted()) {
      failed(AttemptFailure.ERROR_ANSWER);
    } else if (request.sendResponse(id(), whole)) {
      completed(outputTokens);
    } else {
      cancel();
    }
  }

  static MutableHttpResponse<?> wholeResponse(HttpResponse<?> answer) {
    byte[] body = answer.getBody(byte[].class).orElse(new byte[0]);
    MutableHttpResponse<byte[]> out = HttpResponse.<byte[]>status(answer.code(), answer.reason());
    ForwardedHeaders.toCaller(answer.getHeaders())
        .forEach((name, values) -> values.forEach(value -> out.header(name, value)));
    return body.length == 0 ? out : out.body(body);
  }

  private static Problem engineProblem(int status, boolean notStarted) {
    Outcome outcome = notStarted ? Outcome.NOT_RUN : Outcome.RAN;
    return Problem.of(
        status, "engine_refused", "The engine responded with status " + status, outcome);
  }
}
