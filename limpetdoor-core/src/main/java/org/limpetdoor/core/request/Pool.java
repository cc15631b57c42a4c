package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Requests of one work class for one upstream, in start-time fair queueing over customers. Each
 * operation takes time logarithmic in the number of waiting customers or requests.
 *
 * @param flows flows of customers with waiting requests, occupied slots or a start tag ahead of the
 *     virtual time
 * @param waitingOrder ranks of the flows with waiting requests, next one first
 * @param virtualTime start tag of the last dispatched request
 * @param inFlight number of requests that occupy slots
 * @param queuedTotals weight and work of the waiting flows, by shed order
 * @param serviceRate measured service time
 */
record Pool(
    PMap<CustomerId, Flow> flows,
    TreePSet<Flow.Rank> waitingOrder,
    double virtualTime,
    int inFlight,
    QueuedTotals queuedTotals,
    ServiceRate serviceRate) {
  static final Pool EMPTY =
      new Pool(
          HashTreePMap.empty(), TreePSet.empty(), 0, 0, QueuedTotals.NONE, ServiceRate.UNMEASURED);

  boolean hasWaiting() {
    return !waitingOrder.isEmpty();
  }

  /** Returns the flow of a customer with the terms of its contract in force. */
  Flow flow(CustomerId customer, Flow.Terms terms) {
    Flow existing = flows.get(customer);
    return existing == null ? Flow.empty(terms) : existing.withTerms(terms);
  }

  /** Returns the first waiting request of the customer that is next. */
  Optional<QueueEntry> next() {
    return waitingOrder.isEmpty()
        ? Optional.empty()
        : Optional.of(flows.get(waitingOrder.first().customer()).waiting().first());
  }

  Pool withQueued(CustomerId customer, Flow.Terms terms, QueueEntry entry, long workTokens) {
    return with(customer, flow(customer, terms).withQueued(entry, workTokens, virtualTime));
  }

  Pool withoutQueued(CustomerId customer, QueueEntry entry, long workTokens) {
    Flow flow = flows.get(customer);
    return flow == null ? this : with(customer, flow.withoutQueued(entry, workTokens));
  }

  Pool withDispatched(CustomerId customer, Flow.Terms terms, long workTokens) {
    Flow flow = flow(customer, terms);
    double time = Math.max(virtualTime, flow.startTag());
    Pool next = with(customer, flow.withDispatched(workTokens, virtualTime));
    return new Pool(
        next.flows, next.waitingOrder, time, inFlight + 1, next.queuedTotals, serviceRate);
  }

  Pool withSlotReleased(CustomerId customer) {
    Flow flow = flows.get(customer);
    if (flow == null) {
      return this;
    }
    Pool next = with(customer, flow.withSlotReleased());
    int remaining = Math.max(0, inFlight - 1);
    return new Pool(
        next.flows, next.waitingOrder, virtualTime, remaining, next.queuedTotals, serviceRate);
  }

  Pool withServiceTime(long tookMs, long workTokens) {
    return new Pool(
        flows,
        waitingOrder,
        virtualTime,
        inFlight,
        queuedTotals,
        serviceRate.withSample(tookMs, workTokens));
  }

  /**
   * Returns the expected wait of a new request of a customer, in milliseconds. Work of customers
   * that are shed later is served first; customers of the same shed order share capacity by weight.
   */
  long expectedWaitMs(CustomerId customer, Flow.Terms terms) {
    Flow flow = flow(customer, terms);
    int slots = Math.max(1, inFlight);
    QueuedTotals otherTotals = flow.waiting().isEmpty() ? queuedTotals : queuedTotals.minus(flow);
    double weightShare =
        (double) terms.weight() / (terms.weight() + otherTotals.weight(terms.shedOrder()));
    double ownShare = Math.max(weightShare, Math.min(1, terms.guaranteedSlots() / slots));
    boolean belowGuarantee = flow.inFlight() < terms.guaranteedSlots();
    double tokensAhead = belowGuarantee ? 0 : otherTotals.tokensServedBefore(terms.shedOrder());
    double workTokens = tokensAhead + flow.queuedTokens() / ownShare;
    double queueMs = workTokens * serviceRate.msPerToken() / slots;
    return Math.round(queueMs + serviceRate.meanServiceMs() / slots);
  }

  private Pool with(CustomerId customer, Flow flow) {
    Flow previous = flows.get(customer);
    TreePSet<Flow.Rank> ranks = waitingOrder;
    QueuedTotals totals = queuedTotals;
    if (previous != null && !previous.waiting().isEmpty()) {
      ranks = ranks.minus(previous.rank(customer));
      totals = totals.minus(previous);
    }
    if (!flow.waiting().isEmpty()) {
      ranks = ranks.plus(flow.rank(customer));
      totals = totals.plus(flow);
    }
    boolean removable = flow.isIdle() && flow.startTag() <= virtualTime;
    PMap<CustomerId, Flow> nextFlows =
        removable ? flows.minus(customer) : flows.plus(customer, flow);
    return new Pool(nextFlows, ranks, virtualTime, inFlight, totals, serviceRate);
  }
}
