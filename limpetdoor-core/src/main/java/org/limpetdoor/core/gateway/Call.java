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
 * @param spec what the caller asked for
 * @param route route that it was bound to when it arrived
 * @param service service that it goes to
 * @param arrivedAtMs when it arrived, in monotonic milliseconds
 * @param expiresAtMs when the caller or the route waits no longer
 * @param waitsUntilMs how long it may wait for an engine
 * @param tried engines that it was sent to, in order
 * @param runs attempts that may have run
 * @param active attempt in progress
 * @param delivered whether the caller has part of an answer
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
   * @param number number of the attempt, from 1
   * @param engine the engine
   * @param sentAtMs when it was sent
   * @param started whether the first event has come
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

  /** Returns whether another engine may run the call. */
  boolean mayRunAgain() {
    return runs == 0 || (route.mayRepeat() && runs < route.maxAttempts());
  }

  /** Returns whether the answer, or its first event, will come later than the caller expects. */
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
    return new Timer(arrivedAtMs + Chooser.PACE_MS, TimerKind.CALL_PREFILL_WAIT, key());
  }

  private String key() {
    return Long.toString(spec.id());
  }

  private Call with(int ran, Optional<Attempt> attempt, boolean hasPart) {
    return new Call(
        spec, route, service, arrivedAtMs, expiresAtMs, waitsUntilMs, tried, ran, attempt, hasPart);
  }
}
