package org.limpetdoor.core.request;

import java.util.Comparator;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.TreePSet;

/**
 * The flow of one customer in the fair queue of one pool.
 *
 * @param terms terms of the contract that determine the share of the flow
 * @param waiting waiting requests in order of arrival
 * @param queuedTokens predicted work of the waiting requests, in tokens
 * @param startTag virtual time at which the next request of the customer may start
 * @param inFlight requests that hold a slot
 */
record Flow(
    Terms terms, TreePSet<QueueEntry> waiting, long queuedTokens, double startTag, int inFlight) {

  /**
   * Terms of a contract that determine the share of a flow.
   *
   * @param weight relative share of the capacity that exceeds the guarantees
   * @param guaranteedSlots slots guaranteed when capacity is short
   * @param shedOrder position of the customer in load shedding
   */
  record Terms(int weight, double guaranteedSlots, ShedOrder shedOrder) {
    /** Terms of a flow whose contract was removed. */
    static final Terms WITHOUT_CONTRACT = new Terms(1, 0, ShedOrder.FIRST);
  }

  /**
   * Sort key of a flow among the waiting flows of its pool: flows below their guarantee first, then
   * those that are shed later, then by virtual start tag.
   */
  record Rank(boolean belowGuarantee, ShedOrder shedOrder, double startTag, CustomerId customer)
      implements Comparable<Rank> {
    private static final Comparator<Rank> ORDER =
        Comparator.<Rank, Boolean>comparing(rank -> !rank.belowGuarantee)
            .thenComparing(Rank::shedOrder, Comparator.reverseOrder())
            .thenComparingDouble(Rank::startTag)
            .thenComparing(Rank::customer);

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }

  static Flow empty(Terms terms) {
    return new Flow(terms, TreePSet.empty(), 0, 0, 0);
  }

  boolean isIdle() {
    return waiting.isEmpty() && inFlight == 0;
  }

  Rank rank(CustomerId customer) {
    boolean belowGuarantee = inFlight < terms.guaranteedSlots();
    return new Rank(belowGuarantee, terms.shedOrder(), startTag, customer);
  }

  Flow withTerms(Terms value) {
    return new Flow(value, waiting, queuedTokens, startTag, inFlight);
  }

  Flow withQueued(QueueEntry entry, long workTokens, double virtualTime) {
    double tag = waiting.isEmpty() ? Math.max(startTag, virtualTime) : startTag;
    return new Flow(terms, waiting.plus(entry), queuedTokens + workTokens, tag, inFlight);
  }

  /**
   * Returns the flow without an entry and with the same start tag, because only dispatched work
   * counts against a share.
   */
  Flow withoutQueued(QueueEntry entry, long workTokens) {
    return new Flow(terms, waiting.minus(entry), queuedTokens - workTokens, startTag, inFlight);
  }

  Flow withDispatched(long workTokens, double virtualTime) {
    double tag = Math.max(startTag, virtualTime) + (double) workTokens / terms.weight();
    return new Flow(terms, waiting, queuedTokens, tag, inFlight + 1);
  }

  Flow withSlotReleased() {
    return new Flow(terms, waiting, queuedTokens, startTag, Math.max(0, inFlight - 1));
  }
}
