package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * An open call.
 *
 * @param spec content of the call as the front end read it
 * @param route route that matched the call on arrival
 * @param service service that the call is sent to
 * @param arrivedAtMs arrival time, in monotonic milliseconds
 * @param expiresAtMs deadline of the caller or of the route, in monotonic milliseconds
 * @param waitsUntilMs time until which the call may wait for an engine, in monotonic milliseconds
 * @param tried engines that the call was sent to, in order of the attempts
 * @param runs number of ended attempts that an engine may have run
 * @param active attempt in progress, if any
 * @param delivered whether the caller has received part of an answer
 */
record Call(
    CallSpec spec,
    Route route,
    String service,
    long arrivedAtMs,
    long expiresAtMs,
    long waitsUntilMs,
    PVector<BackendId> tried,
    int runs,
    Optional<Attempt> active,
    boolean delivered) {

  /**
   * An attempt in progress.
   *
   * @param number number of the attempt, starting at 1
   * @param engine engine that the attempt was sent to
   * @param sentAtMs time at which it was sent, in monotonic milliseconds
   * @param started whether the first event of the answer has been received
   */
  record Attempt(int number, BackendId engine, long sentAtMs, boolean started) {}

  static Call arrived(
      CallSpec spec, Route route, String service, long nowMs, long expiresAtMs, long waitsUntilMs) {
    return new Call(
        spec,
        route,
        service,
        nowMs,
        expiresAtMs,
        waitsUntilMs,
        TreePVector.empty(),
        0,
        Optional.empty(),
        false);
  }

  boolean mayHaveRun() {
    return runs > 0;
  }

  /** Returns whether the call may be sent to another engine. */
  boolean mayRunAgain() {
    return runs == 0 || (route.mayRepeat() && runs < route.maxAttempts());
  }

  /** Returns whether the target latency of the route has already passed. */
  boolean isLate(long nowMs) {
    return nowMs > arrivedAtMs + route.targetLatencyMs();
  }

  Call withAttempt(BackendId engine, long nowMs) {
    Attempt attempt = new Attempt(tried.size() + 1, engine, nowMs, false);
    return new Call(
        spec,
        route,
        service,
        arrivedAtMs,
        expiresAtMs,
        waitsUntilMs,
        tried.plus(engine),
        runs,
        Optional.of(attempt),
        delivered);
  }

  Call withStarted() {
    Attempt attempt = active.orElseThrow();
    return with(
        runs,
        Optional.of(new Attempt(attempt.number(), attempt.engine(), attempt.sentAtMs(), true)),
        true);
  }

  Call withAttemptEnded(ForwardResult result, boolean hasPart) {
    return with(runs + (result.mayHaveRun() ? 1 : 0), Optional.empty(), delivered || hasPart);
  }

  Call withWaitsUntilMs(long value) {
    return new Call(
        spec, route, service, arrivedAtMs, expiresAtMs, value, tried, runs, active, delivered);
  }

  Timer expiryTimer() {
    return new Timer(expiresAtMs, TimerKind.CALL_EXPIRY, key());
  }

  Timer waitTimer() {
    return new Timer(waitsUntilMs, TimerKind.CALL_WAIT, key());
  }

  Timer paceTimer() {
    return new Timer(arrivedAtMs + EngineSelector.PACE_MS, TimerKind.CALL_PACE, key());
  }

  private String key() {
    return Long.toString(spec.id());
  }

  private Call with(int ran, Optional<Attempt> attempt, boolean hasPart) {
    return new Call(
        spec, route, service, arrivedAtMs, expiresAtMs, waitsUntilMs, tried, ran, attempt, hasPart);
  }
}
