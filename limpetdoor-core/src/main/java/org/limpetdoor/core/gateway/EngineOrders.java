package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.EngineOrderDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReleaseDuty;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.limpetdoor.core.gateway.EngineOrder.Source;
import org.limpetdoor.core.id.BackendId;

/** Reduces responses of engines to orders and inspections. */
public final class EngineOrders {
  /** Time that an engine needs to load an adapter, in milliseconds. */
  private static final long ADAPTER_LOAD_MS = 9;

  /**
   * Time beyond the expected end of a load after which the engine is inspected, in milliseconds.
   */
  private static final long LOAD_SLACK_MS = 1_500;

  /** Time after which an engine that unloads a model is first inspected, in milliseconds. */
  private static final long UNLOAD_MS = 400;

  /**
   * Additional time that an engine may take to finish running calls before it unloads a model, in
   * milliseconds.
   */
  private static final long UNLOAD_SLACK_MS = 8_000;

  private EngineOrders() {}

  /** Applies the response to an order. */
  public static Transition<NodeState, Effect> ended(NodeState node, EngineOrderEnded event) {
    GatewayState state = node.gateway();
    OrderSlot slot = state.placement().slot(event.engine());
    Optional<EngineOrder> open = slot.openOrder().filter(order -> order.number() == event.order());
    if (open.isEmpty()) {
      return Transition.of(node);
    }
    EngineOrder order = open.get();
    RecordDecision decision =
        new RecordDecision(new EngineOrderDecision(order, Optional.of(event.result())));
    Transition<NodeState, Effect> recorded = Transition.of(node, decision);
    return switch (event.result()) {
      case ACCEPTED -> recorded.then(next -> accepted(next, order, slot.withOrderAccepted(order)));
      case ALREADY_DONE -> recorded.then(next -> alreadyDone(next, order, slot));
      case CONFLICT, REFUSED, UNKNOWN ->
          recorded.then(
              next -> Transition.of(withSlot(next, order.engine(), slot.unverified(next.nowMs()))));
      case FENCED -> recorded.then(next -> fenced(next, order));
    };
  }

  /**
   * Releases the duty after an engine has seen a higher fencing number. The store then raises the
   * generation of the group, so that the next holder has a fencing number that engines accept. An
   * order of an earlier era is expected to be refused and says nothing about the present term.
   */
  private static Transition<NodeState, Effect> fenced(NodeState node, EngineOrder order) {
    GatewayState state = node.gateway();
    if (DutyTerm.of(order.fencingNumber()).era() < state.store().era()) {
      return Transition.of(
          withSlot(
              node,
              order.engine(),
              state.placement().slot(order.engine()).unverified(node.nowMs())));
    }
    return Transition.of(
        node.withGateway(
            state.withDuty(state.duty().released()).withPlacement(state.placement().unverified())),
        new ReleaseDuty());
  }

  /** Applies the inventory that an engine reported. */
  public static Transition<NodeState, Effect> inspected(NodeState node, EngineInspected event) {
    GatewayState state = node.gateway();
    Optional<EngineState> engine = state.engines().find(event.engine());
    boolean usable =
        event.inventory().isPresent()
            && engine.isPresent()
            && event.inventory().get().startedAtMs() == engine.get().entry().startedAtMs();
    if (!usable) {
      return Transition.of(node);
    }
    EngineInventory inventory = event.inventory().get();
    NodeState updated =
        node.withGateway(
            state.withEngines(
                state
                    .engines()
                    .update(
                        event.engine(),
                        found ->
                            found.withLoadedModels(models -> models.withInventory(inventory)))));
    OrderSlot slot = state.placement().slot(event.engine());
    OrderSlot next = slot.withInventory(inventory);
    NodeState recorded = withSlot(updated, event.engine(), next);
    Optional<EngineOrder> done =
        slot.change()
            .filter(change -> next.change().isEmpty() && change.isDoneIn(inventory.held()))
            .map(OrderSlot.Change::order);
    return done.map(order -> publishIfLoaded(recorded, order))
        .orElse(Transition.of(recorded))
        .then(PlacementPlanner::plan)
        .then(WaitingCalls::serve);
  }

  /** Reports a loaded model to the peers, which may be unable to read the list of engines. */
  private static Transition<NodeState, Effect> publishIfLoaded(NodeState node, EngineOrder order) {
    return order.action() == Action.LOAD
        ? LoadedModelEvents.publishChange(
            withRecentUse(node, order), order.engine(), order.target(), true)
        : Transition.of(node);
  }

  /**
   * Records an adapter as loaded when its load is due. The key consists of the engine and the
   * adapter.
   */
  public static Transition<NodeState, Effect> adapterDue(NodeState node, String key) {
    String[] parts = key.split(" ", 3);
    BackendId engine = new BackendId(parts[0]);
    ModelKey adapter = ModelKey.of(parts[1], parts[2]);
    OrderSlot slot = node.gateway().placement().slot(engine);
    if (!slot.loadingAdapters().containsKey(adapter)) {
      return Transition.of(node);
    }
    NodeState next = withSlot(node, engine, slot.withoutLoadingAdapter(adapter));
    return LoadedModelEvents.publishChange(next, engine, adapter, true);
  }

  /**
   * Completes changes that the list of engines shows as done, and marks engines with overdue
   * changes for inspection. The state of engines that are no longer listed is removed.
   */
  static NodeState completeListedChanges(NodeState node) {
    NodeState result = node;
    for (var entry : node.gateway().placement().slots().entrySet()) {
      OrderSlot slot = entry.getValue();
      Optional<EngineState> engine = node.gateway().engines().find(entry.getKey());
      if (engine.isEmpty()) {
        Placement without = result.gateway().placement().withoutSlot(entry.getKey());
        result = result.withGateway(result.gateway().withPlacement(without));
      } else if (slot.change().isPresent()) {
        OrderSlot next = completedOrUnverified(node, slot, engine.get());
        EngineOrder order = slot.change().get().order();
        boolean completed = next.verified() && next.change().isEmpty();
        boolean loaded = completed && order.action() == Action.LOAD;
        result = withSlot(loaded ? withRecentUse(result, order) : result, entry.getKey(), next);
      }
    }
    return result;
  }

  /** Records that a load has ended, so that the model is kept until its callers return. */
  private static NodeState withRecentUse(NodeState node, EngineOrder order) {
    GatewayState state = node.gateway();
    return node.withGateway(
        state.withPlacement(state.placement().withRecentUse(order.target(), node.nowMs())));
  }

  private static OrderSlot completedOrUnverified(
      NodeState node, OrderSlot slot, EngineState engine) {
    OrderSlot.Change change = slot.change().orElseThrow();
    EngineOrder order = change.order();
    boolean current = engine.entry().ordersAccepted() > order.expectedOrders();
    if (current && change.isDoneIn(engine.entry().held())) {
      return slot.withChangeCompleted();
    }
    long slackMs = order.action() == Action.LOAD ? LOAD_SLACK_MS : UNLOAD_SLACK_MS;
    boolean late = node.nowMs() > change.dueAtMs() + slackMs;
    return late ? slot.unverified(node.nowMs()) : slot;
  }

  private static Transition<NodeState, Effect> accepted(
      NodeState node, EngineOrder order, OrderSlot slot) {
    if (order.target().adapter().isPresent()) {
      return adapterAccepted(node, order, slot);
    }
    long tookMs = order.action() == Action.LOAD ? loadMs(node, order) : UNLOAD_MS;
    NodeState next = withSlot(node, order.engine(), slot.withChange(order, node.nowMs() + tookMs));
    return order.action() == Action.UNLOAD
        ? LoadedModelEvents.publishChange(next, order.engine(), order.target(), false)
        : Transition.of(next);
  }

  private static Transition<NodeState, Effect> adapterAccepted(
      NodeState node, EngineOrder order, OrderSlot slot) {
    if (order.action() == Action.UNLOAD) {
      OrderSlot unloading = slot.withUnloadingAdapter(order.target(), node.nowMs());
      return LoadedModelEvents.publishChange(
          withSlot(node, order.engine(), unloading), order.engine(), order.target(), false);
    }
    long dueMs = node.nowMs() + ADAPTER_LOAD_MS;
    String key =
        order.engine()
            + " "
            + order.target().model()
            + " "
            + order.target().adapter().orElseThrow();
    NodeState next = withSlot(node, order.engine(), slot.withLoadingAdapter(order.target(), dueMs));
    return PlacementPlanner.plan(
        next.withTimers(next.timers().plus(new Timer(dueMs, TimerKind.ADAPTER_LOAD_DUE, key))));
  }

  private static Transition<NodeState, Effect> alreadyDone(
      NodeState node, EngineOrder order, OrderSlot slot) {
    boolean loaded = order.action() == Action.LOAD;
    NodeState next = withSlot(node, order.engine(), slot.withOrderAlreadyDone(order));
    return LoadedModelEvents.publishChange(next, order.engine(), order.target(), loaded)
        .then(PlacementPlanner::plan);
  }

  private static long loadMs(NodeState node, EngineOrder order) {
    return node.gateway().table().stream()
        .flatMap(table -> table.services().values().stream())
        .flatMap(service -> service.engine().stream())
        .flatMap(spec -> Optional.ofNullable(spec.models().get(order.target().model())).stream())
        .mapToLong(model -> order.source() == Source.COPY ? model.copyLoadMs() : model.loadMs())
        .max()
        .orElse(LOAD_SLACK_MS);
  }

  private static NodeState withSlot(NodeState node, BackendId engine, OrderSlot slot) {
    GatewayState state = node.gateway();
    return node.withGateway(state.withPlacement(state.placement().withSlot(engine, slot)));
  }
}
