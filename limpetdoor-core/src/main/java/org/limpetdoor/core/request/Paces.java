package org.limpetdoor.core.request;

import java.util.function.UnaryOperator;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.Target.ModelTarget;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Paces of engines of all upstreams.
 *
 * @param byModel paces of the engines of each model, by upstream
 */
record Paces(PMap<UpstreamId, ModelPace> byModel) {
  static final Paces NONE = new Paces(HashTreePMap.empty());

  /**
   * Prompt tokens equivalent to the part of the time to first token that does not depend on the
   * prompt.
   */
  private static final int FIXED_COST_TOKENS = 50;

  /**
   * Ratio of the first-byte timeout to the median, far above the slowest normal response, because a
   * timeout costs a retry.
   */
  private static final double FIRST_BYTE_TIMEOUT_RATIO = 20;

  /** Covers the load of an adapter and a queue in the engine at peak load. */
  private static final long MIN_FIRST_BYTE_TIMEOUT_MS = 2_000;

  ModelPace of(UpstreamId upstream) {
    return byModel.getOrDefault(upstream, ModelPace.UNMEASURED);
  }

  /**
   * Records a sample of the time to first token. Requests with a prefix hash or an adapter load are
   * excluded, because these change the time more than a slow engine does.
   */
  static NodeState recordFirstToken(NodeState state, RequestState request, ActiveAttempt attempt) {
    AttemptId id = new AttemptId(request.spec().id(), attempt.number());
    boolean comparable =
        request.spec().prefixHash() == 0
            && !state.requests().decisionInputs().adapterLoads().inFlight().containsKey(id);
    if (!comparable) {
      return state;
    }
    double costTokens = (double) FIXED_COST_TOKENS + request.spec().promptTokens();
    double sampleMs = (state.nowMs() - attempt.sentAtMs()) / costTokens;
    return update(state, request, attempt, p -> p.withFirstToken(sampleMs, state.nowMs()));
  }

  /**
   * Returns the time without a first byte after which an attempt fails, in milliseconds. Long work
   * can wait for short work in the engine before its first byte, so it gets the longest timeout.
   */
  static long firstByteTimeoutMs(NodeState state, RequestState request) {
    PoolId pool = request.plan().pool();
    double medianMs =
        state.requests().decisionInputs().paces().of(pool.upstream()).medianFirstTokenMs();
    if (medianMs <= 0 || pool.workClass() == WorkClass.LONG) {
      return Attempts.MAX_FIRST_BYTE_TIMEOUT_MS;
    }
    double costTokens = (double) FIXED_COST_TOKENS + request.spec().promptTokens();
    long timeoutMs = Math.round(FIRST_BYTE_TIMEOUT_RATIO * medianMs * costTokens);
    return Math.min(
        Attempts.MAX_FIRST_BYTE_TIMEOUT_MS, Math.max(MIN_FIRST_BYTE_TIMEOUT_MS, timeoutMs));
  }

  /** Records a sample of the time between tokens. */
  static NodeState recordTokenInterval(
      NodeState state, RequestState request, ActiveAttempt attempt, int outputTokens) {
    int intervals = outputTokens - request.deliveredTokens() - 1;
    if (intervals < 1 || !attempt.started()) {
      return state;
    }
    double sampleMs = (double) (state.nowMs() - attempt.startedAtMs()) / intervals;
    return update(state, request, attempt, p -> p.withTokenInterval(sampleMs, state.nowMs()));
  }

  /**
   * Updates the pace of the engine, except from long work, which engines interrupt for short work.
   */
  private static NodeState update(
      NodeState state, RequestState request, ActiveAttempt attempt, UnaryOperator<Pace> change) {
    boolean usable =
        request.spec().target() instanceof ModelTarget
            && request.plan().pool().workClass() != WorkClass.LONG;
    if (!usable) {
      return state;
    }
    DecisionInputs inputs = state.requests().decisionInputs();
    UpstreamId upstream = request.plan().pool().upstream();
    ModelPace pace = inputs.paces().of(upstream).update(attempt.backend(), change, state.nowMs());
    return inputs.withPaces(new Paces(inputs.paces().byModel.plus(upstream, pace))).applyTo(state);
  }
}
