package org.limpetdoor.core.config;

/**
 * Limit of the waiting work of a customer over all instances.
 *
 * @param maxRequests largest number of waiting requests, at least 0
 * @param maxTokens largest number of prompt and predicted output tokens of waiting requests, at
 *     least 0
 */
public record QueueLimit(int maxRequests, long maxTokens) {
  /** Checks ranges. */
  public QueueLimit {
    Ranges.atLeast("maxRequests", maxRequests, 0);
    Ranges.atLeast("maxTokens", maxTokens, 0);
  }
}
