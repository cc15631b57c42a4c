package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * State of the orders that the holder of the placement duty sends to one engine.
 *
 * @param verified whether the engine has reported its inventory since this instance became the
 *     holder, and no response was lost since
 * @param ordersAccepted number of orders that the engine has accepted, which the next order states
 *     as expected
 * @param contents models and adapters that use memory: loaded, being loaded, or not confirmed as
 *     unloaded. Entries of the list of engines lag behind, so they do not change it.
 * @param unloadingAdapters adapters that the engine unloads when their last call has ended
 * @param openOrder order that was sent and has not been answered
 * @param change model that is being loaded or unloaded
 * @param replacement model to load in place of the one that is being unloaded
 * @param loadingAdapters adapters that are being loaded, with the expected end in monotonic
 *     milliseconds
 * @param nextInspectionMs earliest time of the next inspection of the engine, in monotonic
 *     milliseconds
 * @param copiesAsOfOrders number of orders that the engine had accepted, including its last load of
 *     a model; that load may have displaced a copy of the weights of another model
 */
record OrderSlot(
    boolean verified,
    long ordersAccepted,
    PSet<ModelKey> contents,
    PSet<ModelKey> unloadingAdapters,
    Optional<EngineOrder> openOrder,
    Optional<Change> change,
    Optional<String> replacement,
    PMap<ModelKey, Long> loadingAdapters,
    long nextInspectionMs,
    long copiesAsOfOrders) {
  /** State of an engine that was not inspected yet. */
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

  /** Interval of inspections of an engine that does not answer or is busy, in milliseconds. */
  private static final long INSPECTION_INTERVAL_MS = 400;

  /** Time after which an engine that unloads an adapter in use is inspected, in milliseconds. */
  private static final long UNLOAD_CHECK_MS = 600;

  /**
   * A model that is being loaded or unloaded.
   *
   * @param order order that the engine carries out
   * @param dueAtMs expected end of the change, in monotonic milliseconds
   */
  record Change(EngineOrder order, long dueAtMs) {
    /** Returns whether an engine that holds the given models has carried out the order. */
    boolean isDoneIn(PSet<ModelKey> held) {
      return held.contains(order.target()) == (order.action() == Action.LOAD);
    }
  }

  /** Returns whether an order for a model or adapter may be sent. */
  boolean readyForOrder() {
    return verified && openOrder.isEmpty() && change.isEmpty();
  }

  boolean inspectionDue(long nowMs) {
    boolean changeDue = change.filter(c -> nowMs >= c.dueAtMs()).isPresent();
    return (!verified || !unloadingAdapters.isEmpty() || changeDue) && nowMs >= nextInspectionMs;
  }

  /** Returns whether the engine loads from the weight store, or will do so next. */
  boolean loadsFromStore(EngineEntry entry) {
    boolean ordered =
        openOrder
            .or(() -> change.map(Change::order))
            .filter(order -> order.source() == EngineOrder.Source.STORE)
            .isPresent();
    return ordered || replacement.filter(model -> !listsCopy(entry, model)).isPresent();
  }

  /**
   * Returns whether the engine has a copy of a model's weights, according to an entry that is not
   * older than its last load of a model.
   */
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
        openOrder,
        change,
        replacement,
        loadingAdapters,
        nowMs + INSPECTION_INTERVAL_MS,
        copiesAsOfOrders);
  }

  /**
   * Applies an inventory that the engine reported. An inventory is some hundred milliseconds old,
   * so one with fewer orders than were accepted is ignored.
   */
  OrderSlot withInventory(EngineInventory inventory) {
    if (inventory.ordersAccepted() < ordersAccepted || openOrder.isPresent()) {
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
        openOrder,
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** Completes the change if the engine is idle again and the inventory shows the result. */
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

  /**
   * Records that the engine accepted the open order; a model or adapter to load uses memory from
   * now on.
   */
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

  /**
   * Records that the engine was already in the ordered state. The engine counts an order to unload
   * an adapter even then.
   */
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
        openOrder,
        Optional.of(new Change(order, dueAtMs)),
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** Sets the model to load in place of the one that is being unloaded. */
  OrderSlot withReplacement(Optional<String> model) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters,
        openOrder,
        change,
        model,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** Completes the change in progress. */
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
        openOrder,
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
        openOrder,
        change,
        replacement,
        loadingAdapters.minus(adapter),
        nextInspectionMs,
        copiesAsOfOrders);
  }

  /** Records an adapter that the engine unloads when its last call has ended. */
  OrderSlot withUnloadingAdapter(ModelKey adapter, long nowMs) {
    return new OrderSlot(
        verified,
        ordersAccepted,
        contents,
        unloadingAdapters.plus(adapter),
        openOrder,
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
        openOrder,
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
        openOrder,
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
        ModelKey.withoutKey(contents, key),
        ModelKey.withoutKey(unloadingAdapters, key),
        openOrder,
        change,
        replacement,
        loadingAdapters,
        nextInspectionMs,
        copiesAsOfOrders);
  }
}
