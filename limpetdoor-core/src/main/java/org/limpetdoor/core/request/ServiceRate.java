package org.limpetdoor.core.request;

/**
 * Measured service time per unit of work, as a ratio of two decayed sums.
 *
 * @param serviceMs decayed sum of service times, in milliseconds
 * @param work decayed sum of work, in tokens
 * @param requests decayed number of requests
 */
record ServiceRate(double serviceMs, double work, double requests) {
  /** About 50 requests count, so that a change shows within one batch of a few engines. */
  private static final double DECAY = 0.98;

  /** Nothing measured yet: 2 ms for each token, below what any engine of today needs. */
  static final ServiceRate UNMEASURED = new ServiceRate(2, 1, 0.01);

  ServiceRate withSample(long tookMs, long tokens) {
    return new ServiceRate(
        serviceMs * DECAY + tookMs, work * DECAY + Math.max(1, tokens), requests * DECAY + 1);
  }

  double msPerWork() {
    return serviceMs / work;
  }

  double meanServiceMs() {
    return requests < 1 ? 0 : serviceMs / requests;
  }
}
