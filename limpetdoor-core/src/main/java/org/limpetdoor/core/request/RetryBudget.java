package org.limpetdoor.core.request;

/**
 * Bounds retries to a fraction of recent requests, so that retries cannot multiply the load while
 * back ends fail.
 *
 * @param available retries that may be sent now
 * @param maxAvailable upper bound of {@code available}
 * @param perRequest retries added by each request
 */
public record RetryBudget(double available, double maxAvailable, double perRequest) {
  /** Covers the requests in flight on one engine that crashes. */
  private static final double MAX_AVAILABLE = 50;

  private static final double PER_REQUEST = 0.1;

  static final RetryBudget FULL = new RetryBudget(MAX_AVAILABLE, MAX_AVAILABLE, PER_REQUEST);

  /** Returns whether a retry may be sent now. */
  public boolean allowsRetry() {
    return available >= 1;
  }

  /** Returns the budget after the first attempt of a request. */
  public RetryBudget withRequest() {
    return withAvailable(Math.min(maxAvailable, available + perRequest));
  }

  /** Returns the budget after a retry. */
  public RetryBudget withRetry() {
    return withAvailable(available - 1);
  }

  /** Returns the budget with another upper bound. */
  public RetryBudget withMaxAvailable(double value) {
    return new RetryBudget(Math.min(available, value), value, perRequest);
  }

  private RetryBudget withAvailable(double value) {
    return new RetryBudget(value, maxAvailable, perRequest);
  }
}
