package org.limpetdoor.core.request;

/**
 * Bounds retries to a share of recent requests, so that retries cannot multiply the load while back
 * ends fail.
 *
 * @param available retries that may be sent now
 */
record RetryBudget(double available) {
  /** Covers the requests in flight on one engine that crashes. */
  private static final double MAX_AVAILABLE = 50;

  private static final double PER_REQUEST = 0.1;

  static final RetryBudget FULL = new RetryBudget(MAX_AVAILABLE);

  boolean allows() {
    return available >= 1;
  }

  RetryBudget withRequest() {
    return new RetryBudget(Math.min(MAX_AVAILABLE, available + PER_REQUEST));
  }

  RetryBudget withRetry() {
    return new RetryBudget(available - 1);
  }
}
