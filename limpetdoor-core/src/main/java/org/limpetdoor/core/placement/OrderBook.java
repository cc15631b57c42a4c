package org.limpetdoor.core.placement;

import java.util.Optional;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Orders to engines, as this process sees them. The log says which orders are unsettled; this says
 * what is being done about it.
 *
 * @param submittedMs when an own intent was submitted, until it is read back
 * @param pending what is done about the unsettled order of an engine
 * @param quietAtMs time from which no order can reach an engine any more
 * @param askedMs when the inventory of an engine was last asked for
 * @param lastIntent number of the last own intent, 0 before the first
 * @param startedMs start of the process; earlier intents are not in {@code quietAtMs}
 */
public record OrderBook(
    PMap<String, Long> submittedMs,
    PMap<BackendId, PendingOrder> pending,
    PMap<BackendId, Long> quietAtMs,
    PMap<BackendId, Long> askedMs,
    long lastIntent,
    long startedMs) {
  /** A book without orders. */
  public static final OrderBook EMPTY =
      new OrderBook(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          0,
          0);

  /**
   * What is done about an unsettled order.
   *
   * @param intentId the intent
   * @param phase what is being waited for
   * @param sinceMs start of the phase
   */
  public record PendingOrder(String intentId, OrderPhase phase, long sinceMs) {}

  /** Returns what is done about an intent. */
  public Optional<PendingOrder> find(BackendId engine, String intentId) {
    return Optional.ofNullable(pending.get(engine)).filter(p -> p.intentId().equals(intentId));
  }

  OrderBook withStart(long nowMs) {
    return new OrderBook(submittedMs, pending, quietAtMs, askedMs, lastIntent, nowMs);
  }

  OrderBook withSubmitted(String intentId, long nowMs) {
    return new OrderBook(
        submittedMs.plus(intentId, nowMs), pending, quietAtMs, askedMs, lastIntent + 1, startedMs);
  }

  OrderBook withoutSubmitted(String intentId) {
    return new OrderBook(
        submittedMs.minus(intentId), pending, quietAtMs, askedMs, lastIntent, startedMs);
  }

  OrderBook withPending(BackendId engine, PendingOrder value) {
    return new OrderBook(
        submittedMs, pending.plus(engine, value), quietAtMs, askedMs, lastIntent, startedMs);
  }

  OrderBook withoutPending(BackendId engine) {
    return new OrderBook(
        submittedMs, pending.minus(engine), quietAtMs, askedMs, lastIntent, startedMs);
  }

  OrderBook withQuietAt(BackendId engine, long value) {
    long later = Math.max(value, quietAtMs.getOrDefault(engine, value));
    return new OrderBook(
        submittedMs, pending, quietAtMs.plus(engine, later), askedMs, lastIntent, startedMs);
  }

  OrderBook withAsked(BackendId engine, long nowMs) {
    return new OrderBook(
        submittedMs, pending, quietAtMs, askedMs.plus(engine, nowMs), lastIntent, startedMs);
  }
}
