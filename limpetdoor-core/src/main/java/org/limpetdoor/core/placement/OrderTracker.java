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
 * @param orderExpiryMs time from which no order can reach an engine any more
 * @param inventoryRequestedAtMs when the inventory of an engine was last asked for
 * @param lastIntent number of the last own intent, 0 before the first
 * @param startedMs start of the process; earlier intents are not in {@code orderExpiryMs}
 */
public record OrderTracker(
    PMap<String, Long> submittedMs,
    PMap<BackendId, PendingOrder> pending,
    PMap<BackendId, Long> orderExpiryMs,
    PMap<BackendId, Long> inventoryRequestedAtMs,
    long lastIntent,
    long startedMs) {
  /** A book without orders. */
  public static final OrderTracker EMPTY =
      new OrderTracker(
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

  OrderTracker withStart(long nowMs) {
    return new OrderTracker(submittedMs, pending, orderExpiryMs, inventoryRequestedAtMs, lastIntent, nowMs);
  }

  OrderTracker withSubmitted(String intentId, long nowMs) {
    return new OrderTracker(
        submittedMs.plus(intentId, nowMs), pending, orderExpiryMs, inventoryRequestedAtMs, lastIntent + 1, startedMs);
  }

  OrderTracker withoutSubmitted(String intentId) {
    return new OrderTracker(
        submittedMs.minus(intentId), pending, orderExpiryMs, inventoryRequestedAtMs, lastIntent, startedMs);
  }

  OrderTracker withPending(BackendId engine, PendingOrder value) {
    return new OrderTracker(
        submittedMs, pending.plus(engine, value), orderExpiryMs, inventoryRequestedAtMs, lastIntent, startedMs);
  }

  OrderTracker withoutPending(BackendId engine) {
    return new OrderTracker(
        submittedMs, pending.minus(engine), orderExpiryMs, inventoryRequestedAtMs, lastIntent, startedMs);
  }

  OrderTracker withOrderExpiry(BackendId engine, long value) {
    long later = Math.max(value, orderExpiryMs.getOrDefault(engine, value));
    return new OrderTracker(
        submittedMs, pending, orderExpiryMs.plus(engine, later), inventoryRequestedAtMs, lastIntent, startedMs);
  }

  OrderTracker withInventoryRequested(BackendId engine, long nowMs) {
    return new OrderTracker(
        submittedMs, pending, orderExpiryMs, inventoryRequestedAtMs.plus(engine, nowMs), lastIntent, startedMs);
  }
}
