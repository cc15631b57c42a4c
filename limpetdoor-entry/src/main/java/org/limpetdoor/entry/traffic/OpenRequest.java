package org.limpetdoor.entry.traffic;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.sse.Event;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.ReentrantLock;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.AttemptFailure;
import org.limpetdoor.core.request.Refusal;
import org.limpetdoor.core.request.RefusalReason;
import org.limpetdoor.core.request.RequestSpec;
import org.limpetdoor.entry.traffic.SseDecoder.SseEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Sinks;

/**
 * A request that a caller is waiting for, with its response. Only the current attempt can write to
 * the response, so output of two attempts is never mixed.
 */
public final class OpenRequest {
  /** Buffered events of a slow caller at which reading from the back end pauses. */
  private static final int MAX_PENDING_EVENTS = 64;

  private final RequestSpec spec;
  private final BackendCall call;
  private final long arrivedAtMs;
  private final OpenRequests registry;
  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final ReentrantLock lock = new ReentrantLock();
  private final AtomicInteger pendingEvents = new AtomicInteger();
  private final HeldMemory responseMemory = new HeldMemory();
  private final Sinks.Many<Event<String>> events =
      Sinks.many().unicast().onBackpressureBuffer(new ConcurrentLinkedQueue<>());
  private Optional<BackendAttempt> currentAttempt = Optional.empty();
  private Runnable onCallerDisconnected = () -> {};
  private Runnable onClose = () -> {};
  private int deliveredTokens;
  private boolean ended;
  private boolean attemptOpen;
  private boolean mayHaveRun;

  /**
   * Creates a request without an attempt.
   *
   * @param spec properties of the request that the reducer uses
   * @param call request that is sent to back ends
   * @param arrivedAtMs arrival time in monotonic milliseconds
   * @param registry registry that holds the request until it ends
   */
  public OpenRequest(RequestSpec spec, BackendCall call, long arrivedAtMs, OpenRequests registry) {
    this.spec = spec;
    this.call = call;
    this.arrivedAtMs = arrivedAtMs;
    this.registry = registry;
  }

  /** Returns the request identifier. */
  public RequestId id() {
    return spec.id();
  }

  /** Returns the properties of the request that the reducer uses. */
  public RequestSpec spec() {
    return spec;
  }

  /** Returns the arrival time in monotonic milliseconds. */
  public long arrivedAtMs() {
    return arrivedAtMs;
  }

  /** Returns whether the request is still waiting for its first attempt. */
  public boolean waiting() {
    return locked(() -> currentAttempt.isEmpty());
  }

  /** Returns a future that completes with the stream at its first event, or the whole response. */
  public CompletableFuture<HttpResponse<?>> response() {
    return response;
  }

  /** Sets the action to run if the caller disconnects before the response is complete. */
  public void onCallerDisconnected(Runnable action) {
    locked(() -> onCallerDisconnected = action);
  }

  /** Sets the action to run when the response was sent or the caller has disconnected. */
  public void onClose(Runnable action) {
    locked(() -> onClose = action);
  }

  /** Ends the request because its caller has disconnected. */
  public void callerDisconnected() {
    Runnable action = locked(() -> markEnded() ? onCallerDisconnected : () -> {});
    close();
    action.run();
  }

  /** Responds with a problem, or sends it as the last event if the stream has started. */
  public void refuse(Problem problem) {
    locked(() -> markEnded() && emitProblem(problem));
    if (!response.isDone()) {
      respond(problem.toResponse());
    }
  }

  BackendCall call() {
    return call;
  }

  /** Makes an attempt the current one and supersedes the previous one. */
  void startAttempt(BackendAttempt attempt) {
    locked(() -> setCurrentAttempt(attempt));
  }

  /** Records a failed attempt; refuses the request if the control thread has ended. */
  void attemptFailed(AttemptId attempt, AttemptFailure failure) {
    locked(() -> mayHaveRun |= failure.mayHaveRun());
    if (isCurrent(attempt)) {
      locked(() -> attemptOpen = false);
      if (registry.draining()) {
        refuseUnlessAttemptOpen();
      }
    }
  }

  /** Refuses the request because the control thread has ended, unless an attempt is open. */
  void refuseUnlessAttemptOpen() {
    if (locked(() -> attemptOpen || ended)) {
      return;
    }
    RefusalReason reason = RefusalReason.CONTROL_FAILED;
    Refusal refusal =
        locked(() -> mayHaveRun) ? Refusal.outcomeUnknown(reason) : Refusal.notRun(reason);
    refuse(Problem.of(refusal, spec.target().label()));
  }

  boolean isCurrent(AttemptId attempt) {
    return locked(() -> !ended && currentAttempt.filter(c -> c.id().equals(attempt)).isPresent());
  }

  /** Returns whether the response has started, possibly without a token. */
  boolean responseStarted() {
    return response.isDone();
  }

  /** Returns the number of tokens relayed to the caller. */
  int deliveredTokens() {
    return locked(() -> deliveredTokens);
  }

  /** Relays an event; returns false if the attempt is not the current one. */
  boolean emit(AttemptId attempt, SseEvent event, int tokens) {
    return locked(() -> isCurrent(attempt) && emitCurrent(event, tokens));
  }

  /** Relays the last event of the stream; returns false if the attempt is not the current one. */
  boolean emitLast(AttemptId attempt, SseEvent event) {
    return locked(() -> isCurrent(attempt) && emitCurrent(event, 0) && markEnded() && complete());
  }

  /**
   * Sends a whole response; returns false if one has started or the attempt is superseded.
   *
   * @param body its body, whose memory is released by {@link #responseWritten}
   */
  boolean sendResponse(AttemptId attempt, MutableHttpResponse<?> httpResponse, ReceivedBody body) {
    boolean accepted = locked(() -> isCurrent(attempt) && !responseStarted() && markEnded());
    if (accepted) {
      responseMemory.hold(body.detachMemory());
      respond(httpResponse);
    }
    return accepted;
  }

  /**
   * Releases the memory of a whole response: its connection counts it from now on, or has ended.
   */
  void responseWritten() {
    responseMemory.close();
  }

  /** Returns whether the event buffer of the caller is full, so that reading must pause. */
  boolean callerBufferFull() {
    return pendingEvents.get() >= MAX_PENDING_EVENTS;
  }

  /** Aborts the stream of a caller that does not read. */
  void abortSlowCaller(SlowCallerException reason) {
    callerDisconnected();
    locked(() -> events.tryEmitError(reason));
  }

  private boolean setCurrentAttempt(BackendAttempt attempt) {
    currentAttempt = Optional.of(attempt);
    attemptOpen = true;
    return true;
  }

  private boolean emitCurrent(SseEvent event, int tokens) {
    deliveredTokens += tokens;
    emitEvent(toEvent(event));
    if (!response.isDone()) {
      response.complete(withId(streamResponse()));
    }
    return true;
  }

  private boolean emitProblem(Problem problem) {
    if (!response.isDone()) {
      return false;
    }
    emitEvent(Event.of(problem.toJson()).name("error"));
    return complete();
  }

  private void emitEvent(Event<String> event) {
    pendingEvents.incrementAndGet();
    events.tryEmitNext(event);
  }

  private boolean complete() {
    events.tryEmitComplete();
    return true;
  }

  private boolean markEnded() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  private MutableHttpResponse<?> streamResponse() {
    Flux<Event<String>> body =
        events
            .asFlux()
            .doOnNext(event -> eventConsumed())
            .doOnCancel(this::callerDisconnected)
            .doFinally(signal -> close());
    return HttpResponse.ok(body).contentType(MediaType.TEXT_EVENT_STREAM);
  }

  private void close() {
    registry.close(this);
    locked(() -> onClose).run();
  }

  private void eventConsumed() {
    int remaining = pendingEvents.decrementAndGet();
    if (remaining < MAX_PENDING_EVENTS) {
      locked(() -> currentAttempt).ifPresent(BackendAttempt::resumeReading);
    }
  }

  private void respond(MutableHttpResponse<?> httpResponse) {
    response.complete(withId(httpResponse));
    close();
  }

  private MutableHttpResponse<?> withId(MutableHttpResponse<?> httpResponse) {
    return httpResponse.header("Limpetdoor-Request-Id", spec.id().value());
  }

  private static Event<String> toEvent(SseEvent event) {
    Event<String> out = Event.of(event.data());
    return event.name().equals("message") ? out : out.name(event.name());
  }

  private <T> T locked(java.util.function.Supplier<T> action) {
    lock.lock();
    try {
      return action.get();
    } finally {
      lock.unlock();
    }
  }
}
