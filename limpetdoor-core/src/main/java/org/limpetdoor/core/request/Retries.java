package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.effect.Effect;

/** Retries, queues or refuses a request after a failed attempt. */
final class Retries {
  private Retries() {}

  /** Dispatches the request to another back end, queues it, or refuses it. */
  static Transition<NodeState, Effect> retryOrRefuse(
      NodeState state, RequestState failed, AttemptFailure failure) {
    if (Quarantine.isBanned(state, failed.spec())) {
      return Refusals.refuseAccepted(state, failed, failed.refusal(RefusalReason.CRASH_SUSPECT));
    }
    RequestState request = Quarantine.classify(state, failed);
    if (!mayRetry(state, request, failure)) {
      return refuse(state, request, failure);
    }
    Router.Choice choice = Router.choose(state, request);
    if (choice.backend().isPresent()) {
      return Attempts.dispatch(chargeRetryBudget(state, failure), request, choice);
    }
    Contract contract = state.configuration().contracts().get(request.customer());
    long deadlineMs = queueDeadlineMs(request);
    if (contract == null || !choice.mayBecomeAvailable() || state.nowMs() >= deadlineMs) {
      return refuse(state, request, failure);
    }
    return Queues.enqueue(
        chargeRetryBudget(state, failure), request.withStartDeadlineMs(deadlineMs), contract);
  }

  /**
   * Returns the deadline of retries, in monotonic milliseconds. It leaves time for one attempt that
   * runs into the first-byte timeout, or requests on silent connections could never be retried.
   * Once the caller has received part of the response, it bounds only the time in the queue.
   */
  private static long retryDeadlineMs(RequestState request) {
    return request.startDeadlineMs() + Attempts.MAX_FIRST_BYTE_TIMEOUT_MS;
  }

  private static long queueDeadlineMs(RequestState request) {
    return request.deliveredTokens() > 0 ? retryDeadlineMs(request) : request.startDeadlineMs();
  }

  private static boolean mayRetry(NodeState state, RequestState request, AttemptFailure failure) {
    boolean mayRepeat =
        Targets.repeatability(state.configuration(), request.spec().target()).mayRepeat();
    if (!failure.isRetryable() || (request.mayHaveRun() && !mayRepeat)) {
      return false;
    }
    boolean inTime = request.deliveredTokens() > 0 || state.nowMs() < retryDeadlineMs(request);
    return inTime
        && (!failure.mayHaveRun() || state.requests().decisionInputs().retryBudget().allowsRetry());
  }

  /**
   * Takes a retry from the budget if the failed attempt may have run. Other retries add no load on
   * back ends, so they are free.
   */
  private static NodeState chargeRetryBudget(NodeState state, AttemptFailure failure) {
    DecisionInputs inputs = state.requests().decisionInputs();
    return failure.mayHaveRun()
        ? inputs.withRetryBudget(inputs.retryBudget().withRetry()).applyTo(state)
        : state;
  }

  private static Transition<NodeState, Effect> refuse(
      NodeState state, RequestState request, AttemptFailure failure) {
    return Refusals.refuseAccepted(state, request, request.refusal(failure.refusalReason()));
  }
}
