package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * Requests of one work class for one upstream: start-time fair queueing over customers. Every
 * operation costs the logarithm of the number of waiting customers or requests.
 *
 * @param flows customers that wait or hold slots
 * @param order waiting customers, next first
 * @param virtualTime start tag of the last dispatched request
 * @param inFlight requests that hold slots
 * @param queued what waits, by shed order
 * @param rate measured service time
 */
record Pool(
    PMap<CustomerId, Flow> flows,
    TreePSet<Flow.Rank> order,
    double virtualTime,
    int inFlight,
    QueuedTotals queued,
    ServiceRate rate) {
  static final Pool EMPTY =
      new Pool(
          HashTreePMap.empty(), TreePSet.empty(), 0, 0, QueuedTotals.NONE, ServiceRate.UNMEASURED);

  boolean hasWaiting() {
    return !order.isEmpty();
  }

  /** Returns the flow of a customer with the terms of its contract in force. */
  Flow flow(CustomerId customer, Flow.Terms terms) {
    Flow known = flows.get(customer);
    return known == null ? Flow.empty(terms) : known.withTerms(terms);
  }

  /** Returns the first waiting request of the customer that is next. */
  Optional<QueueEntry> next() {
    return order.isEmpty()
        ? Optional.empty()
        : Optional.of(flows.get(order.first().customer()).waiting().first());
  }

  Pool enqueue(CustomerId customer, Flow.Terms terms, QueueEntry entry, long work) {
    return with(customer, flow(customer, terms).withQueued(entry, work, virtualTime));
  }

  Pool remove(CustomerId customer, QueueEntry entry, long work) {
    Flow flow = flows.get(customer);
    return flow == null ? this : with(customer, flow.withoutQueued(entry, work));
  }

  Pool dispatched(CustomerId customer, Flow.Terms terms, long work) {
    Flow flow = flow(customer, terms);
    double time = Math.max(virtualTime, flow.startTag());
    Pool next = with(customer, flow.withDispatched(work, virtualTime));
    return new Pool(next.flows, next.order, time, inFlight + 1, next.queued, rate);
  }

  Pool ended(CustomerId customer) {
    Flow flow = flows.get(customer);
    if (flow == null) {
      return this;
    }
    Pool next = with(customer, flow.withEnded());
    int left = Math.max(0, inFlight - 1);
    return new Pool(next.flows, next.order, virtualTime, left, next.queued, rate);
  }

  Pool measured(long tookMs, long work) {
    return new Pool(flows, order, virtualTime, inFlight, queued, rate.with(tookMs, work));
  }

  /**
   * Returns how long a new request of a customer would wait, in milliseconds. Work of customers
   * that are shed later goes first; customers of the same shed order share by weight.
   */
  long expectedWaitMs(CustomerId customer, Flow.Terms terms) {
    Flow flow = flow(customer, terms);
    int slots = Math.max(1, inFlight);
    QueuedTotals others = flow.waiting().isEmpty() ? queued : queued.minus(flow);
    double weightShare =
        (double) terms.weight() / (terms.weight() + others.weight(terms.shedOrder()));
    double ownPart = Math.max(weightShare, Math.min(1, terms.guaranteedSlots() / slots));
    boolean owed = flow.inFlight() < terms.guaranteedSlots();
    double before = owed ? 0 : others.workServedBefore(terms.shedOrder());
    double work = before + flow.queuedWork() / ownPart;
    double queueMs = work * rate.msPerWork() / slots;
    return Math.round(queueMs + rate.meanServiceMs() / slots);
  }

  private Pool with(CustomerId customer, Flow flow) {
    Flow before = flows.get(customer);
    TreePSet<Flow.Rank> ranks = order;
    QueuedTotals totals = queued;
    if (before != null && !before.waiting().isEmpty()) {
      ranks = ranks.minus(before.rank(customer));
      totals = totals.minus(before);
    }
    if (!flow.waiting().isEmpty()) {
      ranks = ranks.plus(flow.rank(customer));
      totals = totals.plus(flow);
    }
    boolean forget = flow.isIdle() && flow.startTag() <= virtualTime;
    PMap<CustomerId, Flow> kept = forget ? flows.minus(customer) : flows.plus(customer, flow);
    return new Pool(kept, ranks, virtualTime, inFlight, totals, rate);
  }
}
