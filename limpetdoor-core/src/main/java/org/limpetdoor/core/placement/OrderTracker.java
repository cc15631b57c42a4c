package org.limpetdoor.core.placement;

import java.util.Optional;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Tracks the settlement of orders to engines by this process. Which orders are unsettled is
 * recorded in the log.
 *
 * @param submittedMs submission time of each intent of this process that was not read back
 * @param pending settlement of the unsettled order of each engine
 * @param orderExpiryMs time from which no order can reach an engine any more, by engine
 * @param inventoryRequestedAtMs time of the last inventory request to each engine
 * @param lastIntent number of the last intent of this process, 0 before the first
 * @param startedMs start of the process or adoption of a snapshot; earlier intents may be missing
 *     in {@code orderExpiryMs}
 */
public record OrderTracker(
    PMap<String, Long> submittedMs,
    PMap<BackendId, PendingOrder> pending,
    PMap<BackendId, Long> orderExpiryMs,
    PMap<BackendId, Long> inventoryRequestedAtMs,
    long lastIntent,
    long startedMs) {
  /** A tracker without orders. */
  public static final OrderTracker EMPTY =
      new OrderTracker(
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          0,
          0);

  /**
   * Settlement of an unsettled order.
   *
   * @param intentId the intent
   * @param phase phase of the settlement
   * @param sinceMs start of the phase
   */
  public record PendingOrder(String intentId, OrderPhase phase, long sinceMs) {}

  /** Returns the settlement of an intent, if this process works on it. */
  public Optional<PendingOrder> find(BackendId engine, String intentId) {
    return Optional.ofNullable(pending.get(engine)).filter(p -> p.intentId().equals(intentId));
  }

  OrderTracker withStart(long nowMs) {
    return new OrderTracker(
        submittedMs, pending, orderExpiryMs, inventoryRequestedAtMs, lastIntent, nowMs);
  }

  OrderTracker withSubmitted(String intentId, long nowMs) {
    return new OrderTracker(
        submittedMs.plus(intentId, nowMs),
        pending,
        orderExpiryMs,
        inventoryRequestedAtMs,
        lastIntent + 1,
        startedMs);
  }

  OrderTracker withoutSubmitted(String intentId) {
    return new OrderTracker(
        submittedMs.minus(intentId),
        pending,
        orderExpiryMs,
        inventoryRequestedAtMs,
        lastIntent,
        startedMs);
  }

  OrderTracker withPending(BackendId engine, PendingOrder value) {
    return new OrderTracker(
        submittedMs,
        pending.plus(engine, value),
        orderExpiryMs,
        inventoryRequestedAtMs,
        lastIntent,
        startedMs);
  }

  OrderTracker withoutPending(BackendId engine) {
    return new OrderTracker(
        submittedMs,
        pending.minus(engine),
        orderExpiryMs,
        inventoryRequestedAtMs,
        lastIntent,
        startedMs);
  }

  OrderTracker withOrderExpiry(BackendId engine, long value) {
    long later = Math.max(value, orderExpiryMs.getOrDefault(engine, value));
    return new OrderTracker(
        submittedMs,
        pending,
        orderExpiryMs.plus(engine, later),
        inventoryRequestedAtMs,
        lastIntent,
        startedMs);
  }

  OrderTracker withInventoryRequested(BackendId engine, long nowMs) {
    return new OrderTracker(
        submittedMs,
        pending,
        orderExpiryMs,
        inventoryRequestedAtMs.plus(engine, nowMs),
        lastIntent,
        startedMs);
  }
}
