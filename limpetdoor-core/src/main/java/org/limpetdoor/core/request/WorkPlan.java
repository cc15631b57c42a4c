package org.limpetdoor.core.request;

/**
 * Pool and predicted work of a request. Only the work class may change after arrival.
 *
 * @param pool upstream and work class
 * @param predictedTokens predicted output, in tokens
 * @param workTokens prompt and predicted output, in tokens, at least 1
 */
record WorkPlan(PoolId pool, int predictedTokens, long workTokens) {
  WorkPlan withClass(WorkClass workClass) {
    return new WorkPlan(new PoolId(pool.upstream(), workClass), predictedTokens, workTokens);
  }

  static WorkPlan of(RequestSpec spec, int predictedTokens, WorkClass workClass) {
    PoolId pool = new PoolId(UpstreamId.of(spec.target()), workClass);
    return new WorkPlan(
        pool, predictedTokens, Math.max(1, (long) spec.promptTokens() + predictedTokens));
  }
}
