package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the holder of the placement duty has under way at one engine.
 *
 * @param verified whether the engine told what it holds since this instance became the holder, and
 *     no answer was lost since
 * @param ordersAccepted orders that the engine has accepted, which the next order names
 * @param open order that was sent and not answered
 * @param change model that is being loaded or dropped
 * @param changeUntilMs when the change should be complete, in monotonic milliseconds
 * @param adapters adapters that are being loaded, with the time at which they should be complete
 * @param nextInspectionMs earliest time of the next question to the engine
 */
record OrderSlot(
    boolean verified,
    long ordersAccepted,
    Optional<EngineOrder> open,
    Optional<EngineOrder> change,
    long changeUntilMs,
    PMap<ModelKey, Long> adapters,
    long nextInspectionMs) {
  /** An engine that was not asked yet. */
  static final OrderSlot UNVERIFIED =
      new OrderSlot(false, 0, Optional.empty(), Optional.empty(), 0, HashTreePMap.empty(), 0);

  /** Interval of questions to an engine that does not answer or is busy, in milliseconds. */
  private static final long INSPECTION_INTERVAL_MS = 700;

  /** Returns whether an order about a model or adapter may be sent. */
  boolean free() {
    return verified && open.isEmpty();
  }

  /** Returns whether the engine loads or drops a model. */
  boolean changing() {
    return change.isPresent();
  }

  boolean inspectionDue(long nowMs) {
    return !verified && nowMs >= nextInspectionMs;
  }

  OrderSlot inspecting(long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        open,
        change,
        changeUntilMs,
        adapters,
        nowMs + INSPECTION_INTERVAL_MS);
  }

  OrderSlot verified(long orders) {
    return new OrderSlot(
        true,
        orders,
        Optional.empty(),
        Optional.empty(),
        changeUntilMs,
        HashTreePMap.empty(),
        nextInspectionMs);
  }

  OrderSlot unverified(long nowMs) {
    return new OrderSlot(
        false, ordersAccepted, Optional.empty(), change, changeUntilMs, adapters, nowMs);
  }

  OrderSlot sent(EngineOrder order) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        Optional.of(order),
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  OrderSlot answered(boolean counted) {
    return new OrderSlot(
        verified,
        ordersAccepted + (counted ? 1 : 0),
        Optional.empty(),
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  OrderSlot withChange(EngineOrder order, long untilMs) {
    return new OrderSlot(
        verified, ordersAccepted, open, Optional.of(order), untilMs, adapters, nextInspectionMs);
  }

  OrderSlot withoutChange() {
    return new OrderSlot(
        verified,
        ordersAccepted,
        open,
        Optional.empty(),
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  OrderSlot withAdapter(ModelKey adapter, long readyAtMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        open,
        change,
        changeUntilMs,
        adapters.plus(adapter, readyAtMs),
        nextInspectionMs);
  }

  OrderSlot withoutAdapter(ModelKey adapter) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        open,
        change,
        changeUntilMs,
        adapters.minus(adapter),
        nextInspectionMs);
  }
}
