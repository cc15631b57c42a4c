package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.config.QueueLimit;
import org.limpetdoor.core.effect.Effect;

/** Applies the limits of a contract to an arriving request, and routes, queues or refuses it. */
final class Admission {
  /** Lower bound of the retry-after value; a shorter one would only add load. */
  private static final long MIN_RETRY_AFTER_MS = 100;

  /**
   * A retry may reach an instance that has a limit share, so it need not wait for a new limit
   * epoch.
   */
  private static final long NO_SHARE_RETRY_AFTER_MS = 1_000;

  private static final int MAX_MARGIN_DIVISOR = 4;

  private Admission() {}

  /** Routes, queues or refuses a request whose customer and target are configured. */
  static Transition<NodeState, Effect> admit(NodeState state, RequestSpec spec, Contract contract) {
    if (Quarantine.isBanned(state, spec)) {
      return Refusals.refuseArrival(
          state,
          spec,
          Optional.of(contract.customer()),
          Refusal.notRun(RefusalReason.CRASH_SUSPECT));
    }
    LimitShare share = state.requests().decisionInputs().limitShare();
    if (share.of(contract.customer()) == 0) {
      return refuse(state, spec, contract, RefusalReason.NO_LIMIT_SHARE, NO_SHARE_RETRY_AFTER_MS);
    }
    ArrivalLimit limit = share.of(contract.customer(), contract.arrival());
    CustomerState customer = state.requests().customer(contract.customer(), limit, state.nowMs());
    WorkPlan plan = Prediction.plan(state, spec, contract.customer());
    if (!customer.isWithinRate(limit, plan.workTokens())) {
      long retryAfterMs = customer.retryAfterMs(limit, plan.workTokens());
      return refuse(state, spec, contract, RefusalReason.RATE_EXCEEDED, retryAfterMs);
    }
    RequestState arrived =
        RequestState.arrived(
            spec,
            contract.customer(),
            plan,
            new QueueEntry(state.requests().nextSequence(), state.nowMs(), spec.id()),
            state.nowMs() + contract.firstTokenObjectiveMs());
    DecisionInputs inputs = state.requests().decisionInputs();
    NodeState counted = inputs.withRetryBudget(inputs.retryBudget().withRequest()).applyTo(state);
    NodeState charged =
        counted.withRequests(
            counted
                .requests()
                .withNextSequence()
                .withCustomer(contract.customer(), customer.withArrival(plan.workTokens())));
    return routeOrQueue(state, charged, Quarantine.classify(state, arrived), contract);
  }

  private static Transition<NodeState, Effect> routeOrQueue(
      NodeState uncharged, NodeState state, RequestState request, Contract contract) {
    Pool pool = state.requests().pool(request.plan().pool());
    Router.Choice choice = Router.choose(state, request);
    if (!pool.hasWaiting() && choice.backend().isPresent()) {
      return Attempts.dispatch(state, request, choice);
    }
    if (choice.backend().isEmpty() && !choice.mayBecomeAvailable()) {
      return refuse(
          uncharged, request.spec(), contract, RefusalReason.NO_BACKEND, MIN_RETRY_AFTER_MS);
    }
    Optional<Transition<NodeState, Effect>> refused =
        refuseIfNotQueueable(uncharged, request, contract, choice);
    return refused.orElseGet(
        () ->
            Queues.enqueue(state, request, contract)
                .then(next -> Queues.drain(next, request.plan().pool().upstream())));
  }

  private static Optional<Transition<NodeState, Effect>> refuseIfNotQueueable(
      NodeState state, RequestState request, Contract contract, Router.Choice choice) {
    LimitShare share = state.requests().decisionInputs().limitShare();
    QueueLimit limit = share.of(contract.customer(), contract.queue());
    CustomerState customer = state.requests().customers().get(contract.customer());
    int waiting = customer == null ? 0 : customer.waiting().size();
    long tokens = customer == null ? 0 : customer.queuedTokens();
    long waitMs = expectedWaitMs(state, request, contract);
    if (waiting >= limit.maxRequests()
        || tokens + request.plan().workTokens() > limit.maxTokens()) {
      long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs / Math.max(1, waiting));
      return Optional.of(
          refuse(state, request.spec(), contract, RefusalReason.QUEUE_FULL, retryAfterMs));
    }
    // An adapter load takes milliseconds, so the wait does not depend on the slots in use.
    if (choice.waitsForAdapterLoad()
        || waitMs + marginMs(state, request, contract) <= contract.firstTokenObjectiveMs()) {
      return Optional.empty();
    }
    long retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs - contract.firstTokenObjectiveMs());
    return Optional.of(
        refuse(state, request.spec(), contract, RefusalReason.CANNOT_START_IN_TIME, retryAfterMs));
  }

  /**
   * Returns the safety margin added to the estimated wait, in milliseconds. Requests of a burst end
   * together, so a slot can become free up to one service time later than at an even rate. The
   * margin is at most a quarter of the objective, because a larger one refuses requests that could
   * start in time.
   */
  private static long marginMs(NodeState state, RequestState request, Contract contract) {
    Pool pool = state.requests().pool(request.plan().pool());
    long boundMs = contract.firstTokenObjectiveMs() / MAX_MARGIN_DIVISOR;
    return Math.min(boundMs, Math.round(pool.serviceRate().meanServiceMs()));
  }

  private static long expectedWaitMs(NodeState state, RequestState request, Contract contract) {
    Pool pool = state.requests().pool(request.plan().pool());
    Flow.Terms terms = Queues.terms(state, contract, request.plan().pool());
    return pool.expectedWaitMs(contract.customer(), terms);
  }

  private static Transition<NodeState, Effect> refuse(
      NodeState state,
      RequestSpec spec,
      Contract contract,
      RefusalReason reason,
      long retryAfterMs) {
    return Refusals.refuseArrival(
        state, spec, Optional.of(contract.customer()), Refusal.notRun(reason, retryAfterMs));
  }
}
