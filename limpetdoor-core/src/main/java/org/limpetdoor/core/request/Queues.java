package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.decision.AdmissionDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.id.BackendId;

/** Adds requests to the queues of their pools, removes them, and dispatches them. */
final class Queues {
  private Queues() {}

  /** Returns the terms of a contract that determine its share in a pool. */
  static Flow.Terms terms(NodeState state, Contract contract, PoolId pool) {
    DecisionInputs inputs = state.requests().decisionInputs();
    int slots = inputs.routingIndex().candidates(pool.upstream()).fleetSlots();
    double guaranteedSlots =
        contract.guaranteedShare() * slots * inputs.limitShare().of(contract.customer());
    return new Flow.Terms(contract.weight(), guaranteedSlots, contract.shedOrder());
  }

  /** Returns the terms for a request, or the last terms in its pool if its contract was removed. */
  static Flow.Terms terms(NodeState state, RequestState request) {
    Contract contract = state.configuration().contracts().get(request.customer());
    PoolId id = request.plan().pool();
    if (contract != null) {
      return terms(state, contract, id);
    }
    return state.requests().pool(id).flow(request.customer(), Flow.Terms.WITHOUT_CONTRACT).terms();
  }

  /** Adds a request to the queue of its pool. */
  static Transition<NodeState, Effect> enqueue(
      NodeState state, RequestState request, Contract contract) {
    long workTokens = request.plan().workTokens();
    PoolId id = request.plan().pool();
    Pool pool =
        state
            .requests()
            .pool(id)
            .withQueued(
                request.customer(), terms(state, contract, id), request.queueEntry(), workTokens);
    CustomerState customer =
        state
            .requests()
            .customers()
            .get(request.customer())
            .withQueued(request.queueEntry(), workTokens);
    RequestTable table =
        state
            .requests()
            .with(request)
            .withPool(id, pool)
            .withCustomer(request.customer(), customer);
    NodeState next =
        QueueAgeMonitor.schedule(
            state.withRequests(table).withTimers(state.timers().plus(request.queueTimer())));
    AdmissionDecision decision =
        new AdmissionDecision(
            request.spec().id(),
            Optional.of(request.customer()),
            request.spec().target().label(),
            customer.waiting().size(),
            Optional.empty());
    return Transition.of(next, new RecordDecision(decision));
  }

  /** Removes a request from its queue. */
  static NodeState remove(NodeState state, RequestState request) {
    long workTokens = request.plan().workTokens();
    PoolId id = request.plan().pool();
    RequestTable table = state.requests();
    Pool pool = table.pool(id).withoutQueued(request.customer(), request.queueEntry(), workTokens);
    CustomerState customer =
        table.customers().get(request.customer()).withoutQueued(request.queueEntry(), workTokens);
    return state
        .withRequests(table.withPool(id, pool).withCustomer(request.customer(), customer))
        .withTimers(state.timers().minus(request.queueTimer()));
  }

  /** Dispatches waiting requests that a back end with a free slot can serve. */
  static Transition<NodeState, Effect> drain(NodeState state, BackendId backend) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (UpstreamId upstream :
        state.requests().decisionInputs().routingIndex().upstreams(backend)) {
      result = result.then(next -> drain(next, upstream));
    }
    return result;
  }

  /** Dispatches waiting requests of an upstream while there are free slots, oldest head first. */
  static Transition<NodeState, Effect> drain(NodeState state, UpstreamId upstream) {
    Transition<NodeState, Effect> result = Transition.of(state);
    boolean dispatched = true;
    while (dispatched) {
      Transition<NodeState, Effect> step = dispatchOne(result.state(), upstream);
      dispatched = !step.effects().isEmpty();
      result = result.then(next -> step);
    }
    return result;
  }

  private static Transition<NodeState, Effect> dispatchOne(NodeState state, UpstreamId upstream) {
    Transition<NodeState, Effect> suspect =
        tryDispatch(state, next(state, new PoolId(upstream, WorkClass.SUSPECT)));
    if (!suspect.effects().isEmpty()) {
      return suspect;
    }
    Optional<RequestState> shortWork = next(state, new PoolId(upstream, WorkClass.SHORT));
    Optional<RequestState> longWork = next(state, new PoolId(upstream, WorkClass.LONG));
    boolean longFirst =
        longWork.isPresent()
            && (shortWork.isEmpty()
                || longWork.get().queueEntry().compareTo(shortWork.get().queueEntry()) < 0);
    Transition<NodeState, Effect> first = tryDispatch(state, longFirst ? longWork : shortWork);
    return first.effects().isEmpty()
        ? tryDispatch(first.state(), longFirst ? shortWork : longWork)
        : first;
  }

  private static Transition<NodeState, Effect> tryDispatch(
      NodeState state, Optional<RequestState> waiting) {
    if (waiting.isEmpty()) {
      return Transition.of(state);
    }
    RequestState request = waiting.get();
    if (Quarantine.isBanned(state, request.spec())) {
      return Refusals.refuseAccepted(
          remove(state, request), request, request.refusal(RefusalReason.CRASH_SUSPECT));
    }
    RequestState classified = Quarantine.classify(state, request);
    Contract contract = state.configuration().contracts().get(request.customer());
    if (!classified.equals(request) && contract != null) {
      return enqueue(remove(state, request), classified, contract);
    }
    Router.Choice choice = Router.choose(state, request);
    if (choice.backend().isEmpty() && choice.waitsForAdapterLoad()) {
      return Transition.of(Attempts.recordAdapterBlocked(state, request));
    }
    return choice.backend().isEmpty()
        ? Transition.of(state)
        : Attempts.dispatch(remove(state, request), request, choice);
  }

  private static Optional<RequestState> next(NodeState state, PoolId pool) {
    return state.requests().pool(pool).next().flatMap(w -> state.requests().find(w.request()));
  }
}
