package org.limpetdoor.core.gateway;

import java.util.Optional;
import java.util.OptionalInt;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.backend.AnsweredPromptParts;
import org.limpetdoor.core.gateway.account.Authentication;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * An open call.
 *
 * @param spec content of the call as the front end read it
 * @param route route that matched the call on arrival
 * @param caller authentication of the caller on arrival
 * @param service service that the call is sent to
 * @param arrivedAtMs arrival time, in monotonic milliseconds
 * @param deadlineMs deadline of the caller or of the route, in monotonic milliseconds
 * @param waitDeadlineMs time until which the call may wait for an engine, in monotonic milliseconds
 * @param triedEngines engines that the call was sent to, in order of the attempts
 * @param ranAt engines that may have run an ended attempt
 * @param retryDue whether the next attempt takes a retry from the budget, because the last one that
 *     was paid for has reached an engine
 * @param activeAttempt attempt in progress, if any
 * @param delivered whether the caller has received part of a response
 */
record Call(
    CallSpec spec,
    Route route,
    Authentication caller,
    String service,
    long arrivedAtMs,
    long deadlineMs,
    long waitDeadlineMs,
    PVector<BackendId> triedEngines,
    PVector<BackendId> ranAt,
    boolean retryDue,
    Optional<Attempt> activeAttempt,
    boolean delivered) {

  /**
   * An attempt in progress.
   *
   * @param number number of the attempt, starting at 1
   * @param engine engine that the attempt was sent to
   * @param sentAtMs time at which it was sent, in monotonic milliseconds
   * @param startedAtMs time of the first event of the response, in monotonic milliseconds, or
   *     {@link Timed#NEVER_MS} before it
   */
  record Attempt(int number, BackendId engine, long sentAtMs, long startedAtMs) {
    boolean started() {
      return startedAtMs != Timed.NEVER_MS;
    }

    /** Returns whether the response shows that the parts of the prompt do not crash engines. */
    boolean showsSoundPrompt(long nowMs) {
      return started() && AnsweredPromptParts.isSoundAnswer(startedAtMs, nowMs);
    }

    Attempt withStarted(long nowMs) {
      return new Attempt(number, engine, sentAtMs, nowMs);
    }
  }

  static Call arrived(
      CallSpec spec,
      Route route,
      Authentication caller,
      String service,
      long nowMs,
      long deadlineMs,
      long waitDeadlineMs) {
    return new Call(
        spec,
        route,
        caller,
        service,
        nowMs,
        deadlineMs,
        waitDeadlineMs,
        TreePVector.empty(),
        TreePVector.empty(),
        false,
        Optional.empty(),
        false);
  }

  /** Returns the account of the caller, if it is known. */
  Optional<ClientAccount> account() {
    return caller.account();
  }

  /** Returns the priority of the call; that of its account takes precedence over its route's. */
  int priority() {
    return account()
        .map(ClientAccount::priority)
        .orElse(OptionalInt.empty())
        .orElse(route.priority());
  }

  boolean mayHaveRun() {
    return !ranAt.isEmpty();
  }

  /** Returns whether the call may be sent to another engine. */
  boolean mayRunAgain() {
    return ranAt.isEmpty() || (route.mayRepeat() && ranAt.size() < route.maxAttempts());
  }

  /** Returns whether the target latency of the route has already passed. */
  boolean isLate(long nowMs) {
    return nowMs > arrivedAtMs + route.targetLatencyMs();
  }

  Call withAttempt(BackendId engine, long nowMs) {
    Attempt attempt = new Attempt(triedEngines.size() + 1, engine, nowMs, Timed.NEVER_MS);
    return new Call(
        spec,
        route,
        caller,
        service,
        arrivedAtMs,
        deadlineMs,
        waitDeadlineMs,
        triedEngines.plus(engine),
        ranAt,
        false,
        Optional.of(attempt),
        delivered);
  }

  Call withResponseStarted(long nowMs) {
    Attempt attempt = activeAttempt.orElseThrow();
    return with(ranAt, retryDue, Optional.of(attempt.withStarted(nowMs)), true);
  }

  /**
   * Returns the call after the end of its attempt. A response that was interrupted by it may wait
   * for another engine for as long as its caller accepts a pause.
   */
  Call withAttemptEnded(ForwardResult result, boolean responseDelivered, long nowMs) {
    Attempt attempt = activeAttempt.orElseThrow();
    boolean interrupted = attempt.started() || (responseDelivered && !delivered);
    Call ended =
        with(
            result.mayHaveRun() ? ranAt.plus(attempt.engine()) : ranAt,
            retryDue || result.sent(),
            Optional.empty(),
            delivered || responseDelivered);
    return interrupted
        ? ended.withWaitDeadlineMs(Math.min(deadlineMs, nowMs + route.resumeWaitMs()))
        : ended;
  }

  private Call withWaitDeadlineMs(long value) {
    return new Call(
        spec,
        route,
        caller,
        service,
        arrivedAtMs,
        deadlineMs,
        value,
        triedEngines,
        ranAt,
        retryDue,
        activeAttempt,
        delivered);
  }

  Timer expiryTimer() {
    return new Timer(deadlineMs, TimerKind.CALL_EXPIRY, timerKey());
  }

  Timer waitTimer() {
    return new Timer(waitDeadlineMs, TimerKind.CALL_WAIT, timerKey());
  }

  Timer promptPacingTimer() {
    return new Timer(
        arrivedAtMs + EngineSelector.MAX_PROMPT_PACING_MS,
        TimerKind.CALL_PROMPT_PACING,
        timerKey());
  }

  private String timerKey() {
    return Long.toString(spec.id());
  }

  private Call with(
      PVector<BackendId> newRanAt,
      boolean newRetryDue,
      Optional<Attempt> newAttempt,
      boolean newDelivered) {
    return new Call(
        spec,
        route,
        caller,
        service,
        arrivedAtMs,
        deadlineMs,
        waitDeadlineMs,
        triedEngines,
        newRanAt,
        newRetryDue,
        newAttempt,
        newDelivered);
  }
}
