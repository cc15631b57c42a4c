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
 * One request that this instance has accepted and not finished.
 *
 * @param spec what is known of the request
 * @param customer the customer
 * @param startDeadlineMs latest start, in monotonic milliseconds
 * @param tried back ends of all attempts, in order
 * @param running whether the last attempt is in flight
 * @param deliveredTokens tokens that the caller has
 * @param mayHaveRun whether any ended attempt may have run; it never becomes false again
 */
public record RequestState(
    RequestSpec spec,
    CustomerId customer,
    long startDeadlineMs,
    PVector<BackendId> tried,
    boolean running,
    int deliveredTokens,
    boolean mayHaveRun) {

  static RequestState arrived(RequestSpec spec, CustomerId customer, long startDeadlineMs) {
    return new RequestState(spec, customer, startDeadlineMs, TreePVector.empty(), false, 0, false);
  }

  /** Returns the identifier of the last attempt. */
  AttemptId currentAttempt() {
    return new AttemptId(spec.id(), tried.size());
  }

  /** Returns the back end of the attempt if it is the one in flight. */
  Optional<BackendId> backendOf(AttemptId attempt) {
    if (!running || !currentAttempt().equals(attempt)) {
      return Optional.empty();
    }
    return Optional.of(tried.get(tried.size() - 1));
  }

  RequestState withAttempt(BackendId backend) {
    return new RequestState(
        spec, customer, startDeadlineMs, tried.plus(backend), true, deliveredTokens, mayHaveRun);
  }

  RequestState withAttemptEnded(AttemptFailure failure, int delivered) {
    return new RequestState(
        spec,
        customer,
        startDeadlineMs,
        tried,
        false,
        Math.max(deliveredTokens, delivered),
        mayHaveRun || failure.mayHaveRun());
  }

  /** Returns the refusal that is true after all attempts so far. */
  Refusal refusal(RefusalReason reason) {
    return mayHaveRun ? Refusal.outcomeUnknown(reason) : Refusal.notRun(reason);
  }

  Timer queueTimer() {
    return new Timer(startDeadlineMs, TimerKind.QUEUE_DEADLINE, spec.id().value());
  }
}
