package org.limpetdoor.core.request;

import org.limpetdoor.core.config.ArrivalLimit;
import org.pcollections.TreePSet;

/**
 * Queue and rate limit state of one customer on this instance.
 *
 * @param waiting waiting requests of all pools, in order of arrival
 * @param queuedTokens predicted work of the waiting requests, in tokens
 * @param requestBucket rate limit on requests
 * @param workBucket rate limit on tokens
 * @param trend trend of the age of the oldest waiting request
 */
record CustomerState(
    TreePSet<QueueEntry> waiting,
    long queuedTokens,
    TokenBucket requestBucket,
    TokenBucket workBucket,
    QueueTrend trend) {

  static CustomerState initial(ArrivalLimit limit, long nowMs) {
    return new CustomerState(
        TreePSet.empty(),
        0,
        TokenBucket.full(limit.burstRequests(), nowMs),
        TokenBucket.full(limit.burstTokens(), nowMs),
        QueueTrend.NONE);
  }

  CustomerState refilled(ArrivalLimit limit, long nowMs) {
    return new CustomerState(
        waiting,
        queuedTokens,
        requestBucket.refill(limit.requestsPerSecond(), limit.burstRequests(), nowMs),
        workBucket.refill(limit.tokensPerSecond(), limit.burstTokens(), nowMs),
        trend);
  }

  boolean isWithinRate(ArrivalLimit limit, long workTokens) {
    return requestBucket.canTake(1, limit.burstRequests())
        && workBucket.canTake(workTokens, limit.burstTokens());
  }

  long retryAfterMs(ArrivalLimit limit, long workTokens) {
    return Math.max(
        requestBucket.waitMs(1, limit.requestsPerSecond(), limit.burstRequests()),
        workBucket.waitMs(workTokens, limit.tokensPerSecond(), limit.burstTokens()));
  }

  CustomerState withArrival(long workTokens) {
    return new CustomerState(
        waiting, queuedTokens, requestBucket.take(1), workBucket.take(workTokens), trend);
  }

  CustomerState withQueued(QueueEntry entry, long workTokens) {
    return new CustomerState(
        waiting.plus(entry), queuedTokens + workTokens, requestBucket, workBucket, trend);
  }

  CustomerState withoutQueued(QueueEntry entry, long workTokens) {
    return new CustomerState(
        waiting.minus(entry), queuedTokens - workTokens, requestBucket, workBucket, trend);
  }

  CustomerState withTrend(QueueTrend value) {
    return new CustomerState(waiting, queuedTokens, requestBucket, workBucket, value);
  }
}
