package org.limpetdoor.core.request;

import java.util.Comparator;
import org.limpetdoor.core.config.ShedOrder;
import org.limpetdoor.core.id.CustomerId;
import org.pcollections.TreePSet;

/**
 * What one customer has in one pool.
 *
 * @param terms what the contract says about shares
 * @param waiting waiting requests in order of arrival
 * @param queuedWork predicted work of the waiting requests, in tokens
 * @param startTag virtual time at which the next request of the customer may start
 * @param inFlight requests that hold a slot
 */
record Flow(
    Terms terms, TreePSet<QueueEntry> waiting, long queuedWork, double startTag, int inFlight) {

  /**
   * Terms of the contract that matter here.
   *
   * @param weight share of what is left beyond the guarantees
   * @param guaranteedSlots slots owed when capacity is short
   * @param shedOrder which customers are refused first
   */
  record Terms(int weight, double guaranteedSlots, ShedOrder shedOrder) {
    /** Terms after the contract was removed. */
    static final Terms WITHOUT_CONTRACT = new Terms(1, 0, ShedOrder.FIRST);
  }

  /**
   * Place of a flow among the waiting flows of its pool: guaranteed shares first, then the shed
   * order, then the virtual time.
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
    return new Flow(value, waiting, queuedWork, startTag, inFlight);
  }

  Flow withQueued(QueueEntry entry, long work, double virtualTime) {
    double tag = waiting.isEmpty() ? Math.max(startTag, virtualTime) : startTag;
    return new Flow(terms, waiting.plus(entry), queuedWork + work, tag, inFlight);
  }

  /** Leaves the virtual time as it is: only work that is dispatched counts against a share. */
  Flow withoutQueued(QueueEntry entry, long work) {
    return new Flow(terms, waiting.minus(entry), queuedWork - work, startTag, inFlight);
  }

  Flow withDispatched(long work, double virtualTime) {
    double tag = Math.max(startTag, virtualTime) + (double) work / terms.weight();
    return new Flow(terms, waiting, queuedWork, tag, inFlight + 1);
  }

  Flow withSlotReleased() {
    return new Flow(terms, waiting, queuedWork, startTag, Math.max(0, inFlight - 1));
  }
}
