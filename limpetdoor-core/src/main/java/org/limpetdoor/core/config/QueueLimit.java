package org.limpetdoor.core.config;

/**
 * How much work of a customer may wait over all instances.
 *
 * @param maxRequests bound on waiting requests, at least 0
 * @param maxTokens bound on the prompt and predicted output tokens of waiting requests, at least 0
 */
public record QueueLimit(int maxRequests, long maxTokens) {
  /** Checks ranges. */
  public QueueLimit {
    Ranges.atLeast("maxRequests", maxRequests, 0);
    Ranges.atLeast("maxTokens", maxTokens, 0);
  }
}
