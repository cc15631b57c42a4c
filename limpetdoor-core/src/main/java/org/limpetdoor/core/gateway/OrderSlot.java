package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * What the holder of the placement duty has under way at one engine.
 *
 * @param verified whether the engine told what it holds since this instance became the holder, and
 *     no answer was lost since
 * @param ordersAccepted orders that the engine has accepted, which the next order names
 * @param contents models and adapters that take room: held, being loaded, or not confirmed to be
 *     dropped. Entries of the list lag behind, so they do not change it.
 * @param open order that was sent and not answered
 * @param change model that is being loaded or dropped
 * @param changeUntilMs when the change should be complete, in monotonic milliseconds
 * @param adapters adapters that are being loaded, with the time at which they should be complete
 * @param nextInspectionMs earliest time of the next question to the engine
 */
record OrderSlot(
    boolean verified,
    long ordersAccepted,
    PSet<ModelKey> contents,
    Optional<EngineOrder> open,
    Optional<EngineOrder> change,
    long changeUntilMs,
    PMap<ModelKey, Long> adapters,
    long nextInspectionMs) {
  /** An engine that was not asked yet. */
  static final OrderSlot UNVERIFIED =
      new OrderSlot(
          false,
          0,
          HashTreePSet.empty(),
          Optional.empty(),
          Optional.empty(),
          0,
          HashTreePMap.empty(),
          0);

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

  long adapterCount() {
    return contents.stream().filter(key -> key.adapter().isPresent()).count();
  }

  OrderSlot inspecting(long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        open,
        change,
        changeUntilMs,
        adapters,
        nowMs + INSPECTION_INTERVAL_MS);
  }

  /** Follows what the engine told while nothing was under way. */
  OrderSlot verified(EngineInventory inventory) {
    return new OrderSlot(
        true,
        inventory.ordersAccepted(),
        inventory.held().plusAll(inventory.pending()),
        Optional.empty(),
        Optional.empty(),
        0,
        HashTreePMap.empty(),
        nextInspectionMs);
  }

  OrderSlot unverified(long nowMs) {
    return new OrderSlot(
        false, ordersAccepted, contents, Optional.empty(), change, changeUntilMs, adapters, nowMs);
  }

  OrderSlot sent(EngineOrder order) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        Optional.of(order),
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  /** The engine carries out the open order; what it loads takes room from now on. */
  OrderSlot accepted(EngineOrder order) {
    PSet<ModelKey> taken = order.action() == Action.LOAD ? contents.plus(order.target()) : contents;
    return new OrderSlot(
        verified,
        ordersAccepted + 1,
        taken,
        Optional.empty(),
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  /** The open order held already; dropping an adapter counts as an order all the same. */
  OrderSlot alreadyDone(EngineOrder order) {
    boolean loaded = order.action() == Action.LOAD;
    boolean counted = !loaded && order.target().adapter().isPresent();
    OrderSlot answered = withAnswer(counted ? 1 : 0);
    return loaded ? answered.withContent(order.target()) : answered.withoutContent(order.target());
  }

  OrderSlot withChange(EngineOrder order, long untilMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        open,
        Optional.of(order),
        untilMs,
        adapters,
        nextInspectionMs);
  }

  /** The change under way is complete. */
  OrderSlot changed() {
    EngineOrder order = change.orElseThrow();
    OrderSlot ended = withoutChange();
    return order.action() == Action.LOAD ? ended : ended.withoutContent(order.target());
  }

  OrderSlot withAdapter(ModelKey adapter, long readyAtMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
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
        contents,
        open,
        change,
        changeUntilMs,
        adapters.minus(adapter),
        nextInspectionMs);
  }

  private OrderSlot withAnswer(int orders) {
    return new OrderSlot(
        verified,
        ordersAccepted + orders,
        contents,
        Optional.empty(),
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  private OrderSlot withoutChange() {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        open,
        Optional.empty(),
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  private OrderSlot withContent(ModelKey key) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents.plus(key),
        open,
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }

  /** A model that is dropped takes its adapters along. */
  private OrderSlot withoutContent(ModelKey key) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        ModelKey.without(contents, key),
        open,
        change,
        changeUntilMs,
        adapters,
        nextInspectionMs);
  }
}
