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
 * @param unloadingAdapters adapters that the engine drops when their last call has ended
 * @param open order that was sent and not answered
 * @param change model that is being loaded or dropped
 * @param replacement model that is to be loaded in the room of the one that is dropped
 * @param loadingAdapters adapters that are being loaded, with the time at which they should be
 *     complete
 * @param nextInspectionMs earliest time of the next question to the engine
 * @param copiesAsOfOrders orders that the engine had accepted with its last load of a model, which
 *     may have displaced a copy of the weights of another one
 */
record OrderSlot(
    boolean verified,
    long ordersAccepted,
    PSet<ModelKey> contents,
    PSet<ModelKey> unloadingAdapters,
    Optional<EngineOrder> open,
    Optional<Change> change,
    Optional<String> replacement,
    PMap<ModelKey, Long> loadingAdapters,
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
  private static final long UNLOAD_CHECK_MS = 600;

  /**
   * A model that is being loaded or dropped.
   *
   * @param order the order
   * @param dueAtMs when it should be complete, in monotonic milliseconds
   */
  record Change(EngineOrder order, long dueAtMs) {
    /** Returns whether an engine that holds the given models has carried the order out. */
    boolean isDoneIn(PSet<ModelKey> held) {
      return held.contains(order.target()) == (order.action() == Action.LOAD);
    }
  }

  /** Returns whether an order about a model or adapter may be sent. */
  boolean readyForOrder() {
    return verified && open.isEmpty() && change.isEmpty();
  }

  boolean inspectionDue(long nowMs) {
    boolean changeDue = change.filter(c -> nowMs >= c.dueAtMs()).isPresent();
    return (!verified || !unloadingAdapters.isEmpty() || changeDue) && nowMs >= nextInspectionMs;
  }

  /** Returns whether the weight store serves a load of the engine, or soon will. */
  boolean loadsFromStore(EngineEntry entry) {
    boolean ordered =
        open.or(() -> change.map(Change::order))
            .filter(order -> order.source() == EngineOrder.Source.STORE)
            .isPresent();
    return ordered || replacement.filter(model -> !listsCopy(entry, model)).isPresent();
  }

  /** Returns whether an engine keeps a copy of a model's weights, by an entry that is not old. */
  boolean listsCopy(EngineEntry entry, String model) {
    return entry.ordersAccepted() >= copiesAsOfOrders && entry.copies().contains(model);
  }

  long adapterCount() {
    return contents.stream().filter(key -> key.adapter().isPresent()).count();
  }

  OrderSlot withInspectionSent(long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        open,
        change,
        replacement,
        loadingAdapters,
        nowMs + INSPECTION_INTERVAL_MS,
        copiesAsOfOrders);
  }

  /**
   * Follows what the engine told. Its word is some hundred milliseconds old, so one that knows
   * fewer orders than were accepted says nothing.
   */
  OrderSlot withInventory(EngineInventory inventory) {
    if (inventory.ordersAccepted() < ordersAccepted || open.isPresent()) {
      return this;
    }
    PSet<ModelKey> present = inventory.held().plusAll(inventory.pending());
    if (verified) {
      return withoutUnloaded(unloadingAdapters.minusAll(present)).withChangeCompletedIf(inventory);
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
        replacement,
        HashTreePMap.empty(),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withoutUnloaded(PSet<ModelKey> unloaded) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents.minusAll(unloaded),
        unloadingAdapters.minusAll(unloaded),
        open,
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** Ends the change if the engine is idle again and shows its result. */
  private OrderSlot withChangeCompletedIf(EngineInventory inventory) {
    return change.filter(c -> !inventory.busy() && c.isDoneIn(inventory.held())).isPresent()
        ? withChangeCompleted()
        : this;
  }

  OrderSlot unverified(long nowMs) {
    return new OrderSlot(
        false,
        ordersAccepted,
        contents,
        unloadingAdapters,
        Optional.empty(),
        Optional.empty(),
        replacement,
        loadingAdapters,
        nowMs,
        copiesAsOfOrders);
  }

  OrderSlot withOpenOrder(EngineOrder order) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        Optional.of(order),
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The engine carries out the open order; what it loads takes room from now on. */
  OrderSlot withOrderAccepted(EngineOrder order) {
    boolean loads = order.action() == Action.LOAD;
    boolean loadsModel = loads && order.target().adapter().isEmpty();
    PSet<ModelKey> occupied = loads ? contents.plus(order.target()) : contents;
    return new OrderSlot(
        verified,
        ordersAccepted + 1,
        occupied,
        unloadingAdapters,
        Optional.empty(),
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        loadsModel ? ordersAccepted + 1 : copiesAsOfOrders);
  }

  /** The open order held already; dropping an adapter counts as an order all the same. */
  OrderSlot withOrderAlreadyDone(EngineOrder order) {
    boolean loaded = order.action() == Action.LOAD;
    boolean counted = !loaded && order.target().adapter().isPresent();
    OrderSlot answered = withOrderAnswered(counted ? 1 : 0);
    return loaded ? answered.withContent(order.target()) : answered.withoutContent(order.target());
  }

  OrderSlot withChange(EngineOrder order, long dueAtMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        open,
        Optional.of(new Change(order, dueAtMs)),
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The room of the model that is dropped is meant for another one. */
  OrderSlot withReplacement(Optional<String> model) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        open,
        change,
        model,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The change under way is complete. */
  OrderSlot withChangeCompleted() {
    EngineOrder order = change.orElseThrow().order();
    OrderSlot ended = withoutChange();
    return order.action() == Action.LOAD ? ended : ended.withoutContent(order.target());
  }

  OrderSlot withLoadingAdapter(ModelKey adapter, long readyAtMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        open,
        change,
        replacement,
        loadingAdapters.plus(adapter, readyAtMs),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  OrderSlot withoutLoadingAdapter(ModelKey adapter) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        open,
        change,
        replacement,
        loadingAdapters.minus(adapter),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** The engine drops an adapter when its last call has ended. */
  OrderSlot withUnloadingAdapter(ModelKey adapter, long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters.plus(adapter),
        open,
        change,
        replacement,
        loadingAdapters,
        nowMs + UNLOAD_CHECK_MS,
        copiesAsOfOrders);
  }

  private OrderSlot withOrderAnswered(int orders) {
    return new OrderSlot(
        verified,
        ordersAccepted + orders,
        contents,
        unloadingAdapters,
        Optional.empty(),
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withoutChange() {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        open,
        Optional.empty(),
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withContent(ModelKey key) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents.plus(key),
        unloadingAdapters,
        open,
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  private OrderSlot withoutContent(ModelKey key) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        ModelKey.without(contents, key),
        ModelKey.without(unloadingAdapters, key),
        open,
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }
}
