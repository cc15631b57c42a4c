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
 * @param leaving adapters that the engine drops when their last call has ended
 * @param open order that was sent and not answered
 * @param change model that is being loaded or dropped
 * @param successor model that is to be loaded in the room of the one that is dropped
 * @param adapters adapters that are being loaded, with the time at which they should be complete
 * @param nextInspectionMs earliest time of the next question to the engine
 * @param copiesAsOfOrders orders that the engine had accepted with its last load of a model, which
 *     may have displaced a copy of the weights of another one
 */
record OrderSlot(
    boolean verified,
    long ordersAccepted,
    PSet<ModelKey> contents,
    PSet<ModelKey> leaving,
    Optional<EngineOrder> open,
    Optional<Change> change,
    Optional<String> successor,
    PMap<ModelKey, Long> adapters,
    long nextInspectionMs,
    long copiesAsOfOrders) {
  /** An engine that was not asked yet. */
  static final OrderSlot UNVERIFIED =
      new OrderSlot(
          false,
          0,
          HashTreePSet.empty(),
          HashTreePSet.empty(),
          Optional.empty(),
          Optional.empty(),
          Optional.empty(),
          HashTreePMap.empty(),
          0,
          0);

  /** Interval of questions to an engine that does not answer or is busy, in milliseconds. */
  private static final long INSPECTION_INTERVAL_MS = 400;

  /** Time after which an adapter that was in use is asked after, in milliseconds. */
  private static final long LEAVING_CHECK_MS = 600;

  /**
   * A model that is being loaded or dropped.
   *
   * @param order the order
   * @param untilMs when it should be complete, in monotonic milliseconds
   */
  record Change(EngineOrder order, long untilMs) {
    /** Returns whether an engine that holds the given models has carried the order out. */
    boolean doneIn(PSet<ModelKey> held) {
      return held.contains(order.target()) == (order.action() == Action.LOAD);
    }
  }

  /** Returns whether an order about a model or adapter may be sent. */
  boolean free() {
    return verified && open.isEmpty() && change.isEmpty();
  }

  boolean inspectionDue(long nowMs) {
    boolean changeDue = change.filter(c -> nowMs >= c.untilMs()).isPresent();
    return (!verified || !leaving.isEmpty() || changeDue) && nowMs >= nextInspectionMs;
  }

  /** Returns whether the weight store serves a load of the engine, or soon will. */
  boolean loadsFromStore(EngineEntry entry) {
    boolean asked =
        open.or(() -> change.map(Change::order))
            .filter(order -> order.source() == EngineOrder.Source.STORE)
            .isPresent();
    return asked || successor.filter(model -> !knowsCopy(entry, model)).isPresent();
  }

  /** Returns whether an engine keeps a copy of a model's weights, by an entry that is not old. */
  boolean knowsCopy(EngineEntry entry, String model) {
    return entry.ordersAccepted() >= copiesAsOfOrders && entry.copies().contains(model);
  }

  long adapterCount() {
    return contents.stream().filter(key -> key.adapter().isPresent()).count();
  }

  OrderSlot inspecting(long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving,
        open,
        change,
        successor,
        adapters,
        nowMs + INSPECTION_INTERVAL_MS,
        copiesAsOfOrders);
  }

  /**
   * Follows what the engine told. Its word is some hundred milliseconds old, so one that knows
   * fewer orders than were accepted says nothing.
   */
  OrderSlot inspected(EngineInventory inventory) {
    if (inventory.ordersAccepted() < ordersAccepted || open.isPresent()) {
      return this;
    }
    PSet<ModelKey> present = inventory.held().plusAll(inventory.pending());
    if (verified) {
      return withoutGone(leaving.minusAll(present)).changedIf(inventory);
    }
    if (inventory.busy()) {
      return this;
    }
    return new OrderSlot(
        true,
        inventory.ordersAccepted(),
        present,
        HashTreePSet.empty(),
        Optional.empty(),
        Optional.empty(),
        successor,
        HashTreePMap.empty(),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withoutGone(PSet<ModelKey> gone) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents.minusAll(gone),
        leaving.minusAll(gone),
        open,
        change,
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** Ends the change if the engine is idle again and shows its result. */
  private OrderSlot changedIf(EngineInventory inventory) {
    return change.filter(c -> !inventory.busy() && c.doneIn(inventory.held())).isPresent()
        ? changed()
        : this;
  }

  OrderSlot unverified(long nowMs) {
    return new OrderSlot(
        false,
        ordersAccepted,
        contents,
        leaving,
        Optional.empty(),
        Optional.empty(),
        successor,
        adapters,
        nowMs,
        copiesAsOfOrders);
  }

  OrderSlot sent(EngineOrder order) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving,
        Optional.of(order),
        change,
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The engine carries out the open order; what it loads takes room from now on. */
  OrderSlot accepted(EngineOrder order) {
    boolean loads = order.action() == Action.LOAD;
    boolean loadsModel = loads && order.target().adapter().isEmpty();
    PSet<ModelKey> taken = loads ? contents.plus(order.target()) : contents;
    return new OrderSlot(
        verified,
        ordersAccepted + 1,
        taken,
        leaving,
        Optional.empty(),
        change,
        successor,
        adapters,
        nextInspectionMs,
        loadsModel ? ordersAccepted + 1 : copiesAsOfOrders);
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
        leaving,
        open,
        Optional.of(new Change(order, untilMs)),
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The room of the model that is dropped is meant for another one. */
  OrderSlot withSuccessor(Optional<String> model) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving,
        open,
        change,
        model,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The change under way is complete. */
  OrderSlot changed() {
    EngineOrder order = change.orElseThrow().order();
    OrderSlot ended = withoutChange();
    return order.action() == Action.LOAD ? ended : ended.withoutContent(order.target());
  }

  OrderSlot withAdapter(ModelKey adapter, long readyAtMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving,
        open,
        change,
        successor,
        adapters.plus(adapter, readyAtMs),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  OrderSlot withoutAdapter(ModelKey adapter) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving,
        open,
        change,
        successor,
        adapters.minus(adapter),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The engine drops an adapter when its last call has ended. */
  OrderSlot withLeaving(ModelKey adapter, long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving.plus(adapter),
        open,
        change,
        successor,
        adapters,
        nowMs + LEAVING_CHECK_MS,
        copiesAsOfOrders);
  }

  private OrderSlot withAnswer(int orders) {
    return new OrderSlot(
        verified,
        ordersAccepted + orders,
        contents,
        leaving,
        Optional.empty(),
        change,
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withoutChange() {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        leaving,
        open,
        Optional.empty(),
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withContent(ModelKey key) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents.plus(key),
        leaving,
        open,
        change,
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withoutContent(ModelKey key) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        ModelKey.withoutKey(contents, key),
        ModelKey.withoutKey(leaving, key),
        open,
        change,
        successor,
        adapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }
}
