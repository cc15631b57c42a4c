package org.limpetdoor.core.config;

/**
 * Arrival rate limit of a customer, as two token buckets.
 *
 * @param requestsPerSecond sustained rate of requests, above 0
 * @param burstRequests size of the request bucket, at least 1
 * @param tokensPerSecond sustained rate of prompt and predicted output tokens, above 0
 * @param burstTokens size of the token bucket, at least 1
 */
public record ArrivalLimit(
    double requestsPerSecond, int burstRequests, double tokensPerSecond, long burstTokens) {
  /** Checks ranges. */
  public ArrivalLimit {
    Ranges.above("requestsPerSecond", requestsPerSecond, 0);
    Ranges.atLeast("burstRequests", burstRequests, 1);
    Ranges.above("tokensPerSecond", tokensPerSecond, 0);
    Ranges.atLeast("burstTokens", burstTokens, 1);
  }
}
