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
 * @param mayHaveRun whether an attempt that failed may have run
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

  RequestState withAttemptFailed(AttemptFailure failure, int delivered) {
    boolean ran = mayHaveRun || failure.mayHaveRun();
    return new RequestState(spec, customer, startDeadlineMs, tried, false, delivered, ran);
  }

  Timer queueTimer() {
    return new Timer(startDeadlineMs, TimerKind.QUEUE_DEADLINE, spec.id().value());
  }
}
