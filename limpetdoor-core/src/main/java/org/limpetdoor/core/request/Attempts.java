package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.backend.BackendEvents;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.effect.DispatchAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.AttemptId;

/** Starts and ends attempts. */
final class Attempts {
  /** Longest first-byte timeout, used also if no time to first token has been measured. */
  static final long MAX_FIRST_BYTE_TIMEOUT_MS = 10_000;

  private Attempts() {}

  /** Sends a request to the chosen back end. */
  static Transition<NodeState, Effect> dispatch(
      NodeState state, RequestState request, Router.Choice choice) {
    Backend backend = choice.backend().orElseThrow();
    RequestState sent = request.withAttempt(backend.id(), state.nowMs());
    WorkPlan plan = request.plan();
    Pool pool =
        state
            .requests()
            .pool(plan.pool())
            .withDispatched(request.customer(), Queues.terms(state, request), plan.workTokens());
    NodeState next =
        state
            .withRequests(state.requests().with(sent).withPool(plan.pool(), pool))
            .withBackends(
                state
                    .backends()
                    .update(
                        backend.id(),
                        b ->
                            b.withAttempt(
                                sent.lastAttempt(),
                                sent.spec().fingerprint(),
                                isLong(plan),
                                plan.pool().workClass() == WorkClass.SUSPECT)));
    DispatchAttempt dispatch =
        new DispatchAttempt(
            sent.lastAttempt(),
            backend.id(),
            backend.address(),
            plan.pool().workClass().enginePriority(),
            sent.deliveredTokens(),
            Paces.firstByteTimeoutMs(state, request));
    RecordDecision decision =
        new RecordDecision(Router.decision(state, sent, backend.id(), choice));
    NodeState contacted = BackendEvents.sent(next, backend.id());
    NodeState withAdapter = recordAdapterUse(contacted, sent, backend, choice.loadsAdapter());
    NodeState scheduled = Demotion.scheduleCheck(withAdapter, sent);
    return Transition.<NodeState, Effect>of(scheduled, decision).with(dispatch);
  }

  private static boolean isLong(WorkPlan plan) {
    return plan.pool().workClass() == WorkClass.LONG;
  }

  private static NodeState recordAdapterUse(
      NodeState state, RequestState request, Backend backend, boolean loadsAdapter) {
    Optional<AdapterId> adapter = Router.adapter(request);
    if (adapter.isEmpty()) {
      return state;
    }
    DecisionInputs inputs = state.requests().decisionInputs();
    UpstreamId upstream = request.plan().pool().upstream();
    AdapterLoads started = inputs.adapterLoads().withStarted(request.lastAttempt(), upstream);
    NodeState counted = loadsAdapter ? inputs.withAdapterLoads(started).applyTo(state) : state;
    return counted.withBackends(
        counted.backends().update(backend.id(), b -> b.withAdapterUsed(adapter.get())));
  }

  /** Records that requests of an upstream are queued because of the limit on adapter loads. */
  static NodeState recordAdapterBlocked(NodeState state, RequestState request) {
    DecisionInputs inputs = state.requests().decisionInputs();
    UpstreamId upstream = request.plan().pool().upstream();
    return inputs.withAdapterLoads(inputs.adapterLoads().withBlocked(upstream)).applyTo(state);
  }

  /**
   * Records the end of the adapter load of an attempt, if it had one, and dispatches requests that
   * were queued because of the limit on adapter loads. A load ends when the engine answers or the
   * attempt ends.
   */
  static Transition<NodeState, Effect> adapterLoadEnded(NodeState state, AttemptId attempt) {
    DecisionInputs inputs = state.requests().decisionInputs();
    AdapterLoads loads = inputs.adapterLoads();
    if (!loads.inFlight().containsKey(attempt)) {
      return Transition.of(state);
    }
    Transition<NodeState, Effect> result =
        Transition.of(inputs.withAdapterLoads(loads.withEnded(attempt)).applyTo(state));
    for (UpstreamId upstream : loads.blocked()) {
      result = result.then(next -> Queues.drain(next, upstream));
    }
    return result;
  }

  /** Releases the slot of an ended attempt. */
  static NodeState releaseSlot(NodeState state, RequestState request, ActiveAttempt attempt) {
    PoolId id = request.plan().pool();
    Pool pool = state.requests().pool(id).withSlotReleased(request.customer());
    return state
        .withRequests(state.requests().withPool(id, pool))
        .withBackends(
            state
                .backends()
                .update(
                    attempt.backend(),
                    b ->
                        b.withoutAttempt(
                            new AttemptId(request.spec().id(), attempt.number()),
                            isLong(request.plan()))));
  }

  /** Updates the estimates of service time, pace and output length from a completed attempt. */
  static NodeState recordServiceTime(
      NodeState state, RequestState request, ActiveAttempt attempt, int outputTokens) {
    PoolId id = request.plan().pool();
    long tookMs = state.nowMs() - attempt.sentAtMs();
    long workTokens = (long) request.spec().promptTokens() + outputTokens;
    Pool pool = state.requests().pool(id).withServiceTime(tookMs, workTokens);
    NodeState measured = state.withRequests(state.requests().withPool(id, pool));
    NodeState withPace = Paces.recordTokenInterval(measured, request, attempt, outputTokens);
    return Prediction.recordOutputLength(withPace, request, outputTokens);
  }
}
