package org.limpetdoor.core.request;

import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.config.QueueLimit;

/**
 * How much of its contract's limits a customer uses on this instance.
 *
 * @param queuedRequests waiting requests
 * @param maxQueuedRequests bound on waiting requests
 * @param queuedTokens work of the waiting requests, in tokens
 * @param maxQueuedTokens bound on the work of waiting requests, in tokens
 * @param availableRequests requests that may arrive now, before the rate limit refuses some
 * @param burstRequests bound on available requests
 * @param availableTokens work that may arrive now, in tokens
 * @param burstTokens bound on available work, in tokens
 */
public record LimitUse(
    int queuedRequests,
    int maxQueuedRequests,
    long queuedTokens,
    long maxQueuedTokens,
    long availableRequests,
    int burstRequests,
    long availableTokens,
    long burstTokens) {

  static LimitUse of(ArrivalLimit arrival, QueueLimit queue, CustomerState customer) {
    return new LimitUse(
        customer.waiting().size(),
        queue.maxRequests(),
        customer.queuedTokens(),
        queue.maxTokens(),
        (long) Math.floor(customer.requestBucket().available()),
        arrival.burstRequests(),
        (long) Math.floor(customer.workBucket().available()),
        arrival.burstTokens());
  }
}
