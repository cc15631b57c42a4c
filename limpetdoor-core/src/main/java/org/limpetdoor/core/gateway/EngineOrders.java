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

/** Reduces what engines answer to orders and questions. */
public final class EngineOrders {
  /** Time after which an adapter that an engine loads can be used, in milliseconds. */
  private static final long ADAPTER_LOAD_MS = 9;

  /** Time beyond its expected end after which a change is asked after, in milliseconds. */
  private static final long CHANGE_SLACK_MS = 1_500;

  /** Time after which an engine that drops a model is first asked, in milliseconds. */
  private static final long UNLOAD_MS = 400;

  /** Time that an engine may take to finish running calls before it drops a model. */
  private static final long UNLOAD_SLACK_MS = 8_000;

  private EngineOrders() {}

  /** Notes the answer to an order. */
  public static Transition<NodeState, Effect> ended(NodeState node, EngineOrderEnded event) {
    GatewayState state = node.gateway();
    OrderSlot slot = state.placement().slot(event.engine());
    Optional<EngineOrder> open = slot.open().filter(order -> order.number() == event.order());
    if (open.isEmpty()) {
      return Transition.of(node);
    }
    EngineOrder order = open.get();
    RecordDecision decision =
        new RecordDecision(new EngineOrderDecision(order, Optional.of(event.result())));
    Transition<NodeState, Effect> noted = Transition.of(node, decision);
    return switch (event.result()) {
      case ACCEPTED -> noted.then(next -> accepted(next, order, slot.accepted(order)));
      case ALREADY_DONE -> noted.then(next -> alreadyDone(next, order, slot));
      case CONFLICT, REFUSED, UNKNOWN ->
          noted.then(
              next -> Transition.of(withSlot(next, order.engine(), slot.unverified(next.nowMs()))));
      case FENCED -> noted.then(EngineOrders::fenced);
    };
  }

  /**
   * Gives the duty back after an engine has seen a higher fencing number. Leaving the group raises
   * its generation, so that whoever is dealt the duty next has a number that engines take.
   */
  private static Transition<NodeState, Effect> fenced(NodeState node) {
    GatewayState state = node.gateway();
    return Transition.of(
        node.withGateway(
            state.withDuty(state.duty().released()).withPlacement(state.placement().unverified())),
        new ReleaseDuty());
  }

  /** Notes what an engine holds. */
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
    NodeState held =
        node.withGateway(
            state.withEngines(
                state
                    .engines()
                    .update(
                        event.engine(),
                        known -> known.withHolding(holding -> holding.told(inventory)))));
    OrderSlot slot = state.placement().slot(event.engine());
    OrderSlot next = slot.inspected(inventory);
    NodeState noted = withSlot(held, event.engine(), next);
    Optional<EngineOrder> done =
        slot.change()
            .filter(change -> next.change().isEmpty() && change.doneIn(inventory.held()))
            .map(OrderSlot.Change::order);
    return done.map(order -> loaded(noted, order))
        .orElse(Transition.of(noted))
        .then(Planning::plan)
        .then(CallEvents::serveWaiting);
  }

  /** Tells the peers of a model that was loaded; they may not see the list of engines now. */
  private static Transition<NodeState, Effect> loaded(NodeState node, EngineOrder order) {
    return order.action() == Action.LOAD
        ? Holdings.changed(node, order.engine(), order.target(), true)
        : Transition.of(node);
  }

  /** An adapter should be complete. The key is the engine and the adapter. */
  public static Transition<NodeState, Effect> adapterDue(NodeState node, String key) {
    String[] parts = key.split(" ", 3);
    BackendId engine = new BackendId(parts[0]);
    ModelKey adapter = ModelKey.of(parts[1], parts[2]);
    OrderSlot slot = node.gateway().placement().slot(engine);
    if (!slot.adapters().containsKey(adapter)) {
      return Transition.of(node);
    }
    NodeState next = withSlot(node, engine, slot.withoutAdapter(adapter));
    return Holdings.changed(next, engine, adapter, true);
  }

  /** Ends changes that the list of engines shows to be complete, and asks after late ones. */
  static NodeState settle(NodeState node) {
    NodeState result = node;
    for (var entry : node.gateway().placement().slots().entrySet()) {
      OrderSlot slot = entry.getValue();
      Optional<EngineState> engine = node.gateway().engines().find(entry.getKey());
      if (engine.isEmpty()) {
        Placement without = result.gateway().placement().withoutSlot(entry.getKey());
        result = result.withGateway(result.gateway().withPlacement(without));
      } else if (slot.change().isPresent()) {
        result = withSlot(result, entry.getKey(), settled(node, slot, engine.get()));
      }
    }
    return result;
  }

  private static OrderSlot settled(NodeState node, OrderSlot slot, EngineState engine) {
    OrderSlot.Change change = slot.change().orElseThrow();
    EngineOrder order = change.order();
    boolean current = engine.entry().ordersAccepted() > order.expectedOrders();
    if (current && change.doneIn(engine.entry().held())) {
      return slot.changed();
    }
    long slackMs = order.action() == Action.LOAD ? CHANGE_SLACK_MS : UNLOAD_SLACK_MS;
    boolean late = node.nowMs() > change.untilMs() + slackMs;
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
        ? Holdings.changed(next, order.engine(), order.target(), false)
        : Transition.of(next);
  }

  private static Transition<NodeState, Effect> adapterAccepted(
      NodeState node, EngineOrder order, OrderSlot slot) {
    if (order.action() == Action.UNLOAD) {
      OrderSlot leaving = slot.withLeaving(order.target(), node.nowMs());
      return Holdings.changed(
          withSlot(node, order.engine(), leaving), order.engine(), order.target(), false);
    }
    long dueMs = node.nowMs() + ADAPTER_LOAD_MS;
    String key =
        order.engine()
            + " "
            + order.target().model()
            + " "
            + order.target().adapter().orElseThrow();
    NodeState next = withSlot(node, order.engine(), slot.withAdapter(order.target(), dueMs));
    return Planning.plan(
        next.withTimers(next.timers().plus(new Timer(dueMs, TimerKind.ADAPTER_LOAD_DUE, key))));
  }

  private static Transition<NodeState, Effect> alreadyDone(
      NodeState node, EngineOrder order, OrderSlot slot) {
    boolean loaded = order.action() == Action.LOAD;
    NodeState next = withSlot(node, order.engine(), slot.alreadyDone(order));
    return Holdings.changed(next, order.engine(), order.target(), loaded).then(Planning::plan);
  }

  private static long loadMs(NodeState node, EngineOrder order) {
    return node.gateway().table().stream()
        .flatMap(table -> table.services().values().stream())
        .flatMap(service -> service.engine().stream())
        .flatMap(spec -> Optional.ofNullable(spec.models().get(order.target().model())).stream())
        .mapToLong(model -> order.source() == Source.COPY ? model.copyLoadMs() : model.loadMs())
        .max()
        .orElse(CHANGE_SLACK_MS);
  }

  private static NodeState withSlot(NodeState node, BackendId engine, OrderSlot slot) {
    GatewayState state = node.gateway();
    return node.withGateway(state.withPlacement(state.placement().withSlot(engine, slot)));
  }
}
