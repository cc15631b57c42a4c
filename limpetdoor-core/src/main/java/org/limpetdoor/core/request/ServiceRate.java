package org.limpetdoor.core.request;

/**
 * Measured service time per token of work, as a ratio of two decayed sums.
 *
 * @param serviceMs decayed sum of service times, in milliseconds
 * @param workTokens decayed sum of work, in tokens
 * @param requestCount decayed number of requests
 */
record ServiceRate(double serviceMs, double workTokens, double requestCount) {
  /**
   * Averages over about 50 requests, so that a change takes effect within one batch of a few
   * engines.
   */
  private static final double DECAY = 0.98;

  /** Initial estimate of 2 ms for each token, less than any current engine needs. */
  static final ServiceRate UNMEASURED = new ServiceRate(2, 1, 0.01);

  ServiceRate withSample(long tookMs, long tokens) {
    return new ServiceRate(
        serviceMs * DECAY + tookMs,
        workTokens * DECAY + Math.max(1, tokens),
        requestCount * DECAY + 1);
  }

  double msPerToken() {
    return serviceMs / workTokens;
  }

  double meanServiceMs() {
    return requestCount < 1 ? 0 : serviceMs / requestCount;
  }
}
