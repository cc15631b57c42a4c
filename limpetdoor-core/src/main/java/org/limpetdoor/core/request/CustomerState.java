package org.limpetdoor.core.request;

import org.limpetdoor.core.config.ArrivalLimit;
import org.limpetdoor.core.id.RequestId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * What this instance keeps for one customer.
 *
 * @param queue waiting requests in order of arrival
 * @param queuedTokens work of the waiting requests, in tokens
 * @param requestBucket rate limit on requests
 * @param workBucket rate limit on tokens
 */
record CustomerState(
    PVector<RequestId> queue,
    long queuedTokens,
    TokenBucket requestBucket,
    TokenBucket workBucket) {

  static CustomerState initial(ArrivalLimit limit, long nowMs) {
    return new CustomerState(
        TreePVector.empty(),
        0,
        TokenBucket.full(limit.burstRequests(), nowMs),
        TokenBucket.full(limit.burstTokens(), nowMs));
  }

  CustomerState refilled(ArrivalLimit limit, long nowMs) {
    return new CustomerState(
        queue,
        queuedTokens,
        requestBucket.refill(limit.requestsPerSecond(), limit.burstRequests(), nowMs),
        workBucket.refill(limit.tokensPerSecond(), limit.burstTokens(), nowMs));
  }

  boolean mayArrive(ArrivalLimit limit, long workTokens) {
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
        queue, queuedTokens, requestBucket.take(1), workBucket.take(workTokens));
  }

  CustomerState withQueued(RequestId request, long workTokens) {
    return new CustomerState(
        queue.plus(request), queuedTokens + workTokens, requestBucket, workBucket);
  }

  CustomerState withoutQueued(RequestId request, long workTokens) {
    return new CustomerState(
        queue.minus(request), queuedTokens - workTokens, requestBucket, workBucket);
  }
}
