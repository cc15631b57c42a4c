package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * A request that this instance has accepted and not finished.
 *
 * @param spec properties of the request on arrival
 * @param customer the customer
 * @param plan pool and predicted work of the request
 * @param queueEntry position in the order of arrival
 * @param startDeadlineMs latest time of dispatch, in monotonic milliseconds
 * @param triedBackends back ends of all attempts, in order
 * @param activeAttempts attempts in flight
 * @param deliveredTokens number of tokens delivered to the caller
 * @param mayHaveRun whether any ended attempt may have run; once true, it stays true
 */
public record RequestState(
    RequestSpec spec,
    CustomerId customer,
    WorkPlan plan,
    QueueEntry queueEntry,
    long startDeadlineMs,
    PVector<BackendId> triedBackends,
    PVector<ActiveAttempt> activeAttempts,
    int deliveredTokens,
    boolean mayHaveRun) {

  static RequestState arrived(
      RequestSpec spec,
      CustomerId customer,
      WorkPlan plan,
      QueueEntry queueEntry,
      long startDeadlineMs) {
    return new RequestState(
        spec,
        customer,
        plan,
        queueEntry,
        startDeadlineMs,
        TreePVector.empty(),
        TreePVector.empty(),
        0,
        false);
  }

  /** Returns the identifier of the last attempt. */
  AttemptId lastAttempt() {
    return new AttemptId(spec.id(), triedBackends.size());
  }

  boolean running() {
    return !activeAttempts.isEmpty();
  }

  /** Returns the attempt if it is in flight. */
  Optional<ActiveAttempt> activeAttempt(AttemptId attempt) {
    for (ActiveAttempt candidate : activeAttempts) {
      if (candidate.number() == attempt.number()) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  RequestState withAttempt(BackendId backend, long nowMs) {
    ActiveAttempt attempt = new ActiveAttempt(triedBackends.size() + 1, backend, nowMs, -1);
    return with(triedBackends.plus(backend), activeAttempts.plus(attempt));
  }

  RequestState withStarted(ActiveAttempt attempt, long nowMs) {
    return with(triedBackends, activeAttempts.minus(attempt).plus(attempt.withStarted(nowMs)));
  }

  RequestState withAttemptEnded(ActiveAttempt attempt, AttemptFailure failure, int delivered) {
    return new RequestState(
        spec,
        customer,
        plan,
        queueEntry,
        startDeadlineMs,
        triedBackends,
        activeAttempts.minus(attempt),
        Math.max(deliveredTokens, delivered),
        mayHaveRun || failure.mayHaveRun());
  }

  RequestState withStartDeadlineMs(long value) {
    return new RequestState(
        spec,
        customer,
        plan,
        queueEntry,
        value,
        triedBackends,
        activeAttempts,
        deliveredTokens,
        mayHaveRun);
  }

  RequestState withPlan(WorkPlan value) {
    return new RequestState(
        spec,
        customer,
        value,
        queueEntry,
        startDeadlineMs,
        triedBackends,
        activeAttempts,
        deliveredTokens,
        mayHaveRun);
  }

  /** Returns a refusal whose outcome reflects all attempts so far. */
  Refusal refusal(RefusalReason reason) {
    return mayHaveRun ? Refusal.outcomeUnknown(reason) : Refusal.notRun(reason);
  }

  Timer queueTimer() {
    return new Timer(startDeadlineMs, TimerKind.QUEUE_DEADLINE, spec.id().value());
  }

  private RequestState with(PVector<BackendId> backends, PVector<ActiveAttempt> attempts) {
    return new RequestState(
        spec,
        customer,
        plan,
        queueEntry,
        startDeadlineMs,
        backends,
        attempts,
        deliveredTokens,
        mayHaveRun);
  }
}
