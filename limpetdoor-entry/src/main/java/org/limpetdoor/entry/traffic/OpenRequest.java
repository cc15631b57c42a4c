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
 * The caller's side of one request. Only its current attempt can pass anything on, so the answers
 * of two attempts never mix.
 */
public final class OpenRequest {
  /** Events held for a caller that reads slowly before the back end is no longer read. */
  private static final int MAX_PENDING_EVENTS = 64;

  private final RequestSpec spec;
  private final UpstreamCall call;
  private final long arrivedAtMs;
  private final OpenRequests registry;
  private final CompletableFuture<HttpResponse<?>> response = new CompletableFuture<>();
  private final ReentrantLock lock = new ReentrantLock();
  private final AtomicInteger pendingEvents = new AtomicInteger();
  private final Sinks.Many<Event<String>> events =
      Sinks.many().unicast().onBackpressureBuffer(new ConcurrentLinkedQueue<>());
  private Optional<UpstreamAttempt> current = Optional.empty();
  private Runnable onCallerGone = () -> {};
  private Runnable onClose = () -> {};
  private int deliveredTokens;
  private boolean ended;
  private boolean attemptOpen;
  private boolean mayHaveRun;

  /**
   * Creates a request that no attempt was made for.
   *
   * @param spec what is known of the request
   * @param call what is sent to back ends
   * @param arrivedAtMs when it arrived, in monotonic milliseconds
   * @param registry where it is open until the caller has its answer
   */
  public OpenRequest(RequestSpec spec, UpstreamCall call, long arrivedAtMs, OpenRequests registry) {
    this.spec = spec;
    this.call = call;
    this.arrivedAtMs = arrivedAtMs;
    this.registry = registry;
  }

  /** Returns the identifier. */
  public RequestId id() {
    return spec.id();
  }

  /** Returns what is known of the request. */
  public RequestSpec spec() {
    return spec;
  }

  /** Returns when it arrived, in monotonic milliseconds. */
  public long arrivedAtMs() {
    return arrivedAtMs;
  }

  /** Returns whether no attempt was made yet. */
  public boolean waiting() {
    return locked(() -> current.isEmpty());
  }

  /** Returns the response, which completes with the first token, the answer or a problem. */
  public CompletableFuture<HttpResponse<?>> response() {
    return response;
  }

  /** Sets what is done when the caller leaves before the end. */
  public void onCallerGone(Runnable action) {
    locked(() -> onCallerGone = action);
  }

  /** Sets what is done when the caller has its answer or has left. */
  public void onClose(Runnable action) {
    locked(() -> onClose = action);
  }

  /** Ends the request because its caller has left. */
  public void callerGone() {
    Runnable action = locked(() -> end() ? onCallerGone : () -> {});
    close();
    action.run();
  }

  /** Answers with a problem, or ends the stream with it if a part was sent. */
  public void refuse(Problem problem) {
    locked(() -> end() && send(problem));
    if (!response.isDone()) {
      respond(problem.toResponse());
    }
  }

  UpstreamCall call() {
    return call;
  }

  /** Makes an attempt the current one, which supersedes the one before. */
  void begin(UpstreamAttempt attempt) {
    locked(() -> setCurrent(attempt));
  }

  /** Notes a failure, and refuses the request if no reducer can retry or refuse it. */
  void attemptFailed(AttemptId attempt, AttemptFailure failure) {
    locked(() -> mayHaveRun |= failure.mayHaveRun());
    if (isCurrent(attempt)) {
      locked(() -> attemptOpen = false);
      if (registry.draining()) {
        refuseWithoutAttempt();
      }
    }
  }

  /** Refuses the request after the control thread has ended, unless an attempt can answer it. */
  void refuseWithoutAttempt() {
    if (locked(() -> attemptOpen || ended)) {
      return;
    }
    RefusalReason reason = RefusalReason.CONTROL_FAILED;
    Refusal refusal =
        locked(() -> mayHaveRun) ? Refusal.outcomeUnknown(reason) : Refusal.notRun(reason);
    refuse(Problem.of(refusal, spec.target().label()));
  }

  boolean isCurrent(AttemptId attempt) {
    return locked(() -> !ended && current.filter(c -> c.id().equals(attempt)).isPresent());
  }

  /** Returns whether the caller has the start of a stream, perhaps without a token. */
  boolean begun() {
    return response.isDone();
  }

  /** Returns the tokens that were passed on to the caller. */
  int deliveredTokens() {
    return locked(() -> deliveredTokens);
  }

  /** Passes an event on, unless the attempt is not the current one. */
  boolean emit(AttemptId attempt, SseEvent event, int tokens) {
    return locked(() -> isCurrent(attempt) && emitCurrent(event, tokens));
  }

  /** Passes the last event of the answer on, unless the attempt is not the current one. */
  boolean emitLast(AttemptId attempt, SseEvent event) {
    return locked(() -> isCurrent(attempt) && emitCurrent(event, 0) && end() && complete());
  }

  /** Answers with a whole document, unless the attempt is not the current one. */
  boolean answer(AttemptId attempt, MutableHttpResponse<?> whole) {
    boolean accepted = locked(() -> isCurrent(attempt) && !begun() && end());
    if (accepted) {
      respond(whole);
    }
    return accepted;
  }

  /** Returns whether the caller reads so slowly that the back end must wait. */
  boolean callerBehind() {
    return pendingEvents.get() >= MAX_PENDING_EVENTS;
  }

  /** Closes the stream of a caller that does not read. */
  void abandonCaller(SlowCallerException reason) {
    callerGone();
    locked(() -> events.tryEmitError(reason));
  }

  private boolean setCurrent(UpstreamAttempt attempt) {
    current = Optional.of(attempt);
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

  private boolean send(Problem problem) {
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

  private boolean end() {
    boolean first = !ended;
    ended = true;
    return first;
  }

  private MutableHttpResponse<?> streamResponse() {
    Flux<Event<String>> body =
        events
            .asFlux()
            .doOnNext(event -> taken())
            .doOnCancel(this::callerGone)
            .doFinally(signal -> close());
    return HttpResponse.ok(body).contentType(MediaType.TEXT_EVENT_STREAM);
  }

  private void close() {
    registry.close(this);
    locked(() -> onClose).run();
  }

  private void taken() {
    int left = pendingEvents.decrementAndGet();
    if (left < MAX_PENDING_EVENTS) {
      locked(() -> current).ifPresent(UpstreamAttempt::callerReady);
    }
  }

  private void respond(MutableHttpResponse<?> whole) {
    response.complete(withId(whole));
    close();
  }

  private MutableHttpResponse<?> withId(MutableHttpResponse<?> whole) {
    return whole.header("Limpetdoor-Request-Id", spec.id().value());
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
