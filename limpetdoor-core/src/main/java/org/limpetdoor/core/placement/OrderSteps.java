package org.limpetdoor.core.placement;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AbandonProof;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.PlacementAbandoned;
import org.limpetdoor.core.agreed.LogRecord.PlacementConfirmed;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.decision.PlacementDecision;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.placement.OrderTracker.PendingOrder;

/** Steps from an intent in the log to its settlement. */
final class OrderSteps {
  /**
   * Time after the submission of an intent within which its order may be sent, in milliseconds. A
   * process that was paused for longer abandons the intent, so that another holder can bound the
   * time at which the last copy was sent.
   */
  static final long SEND_WINDOW_MS = 5_000;

  /**
   * Time after which an unanswered order is treated as lost, in milliseconds. Loading large weights
   * takes long.
   */
  static final long ANSWER_TIMEOUT_MS = 60_000;

  /** Interval at which fences and inventory requests are repeated, in milliseconds. */
  static final long REPEAT_MS = 2_000;

  /** Time after which a result that is not in the log is submitted again, in milliseconds. */
  static final long SETTLE_TIMEOUT_MS = 30_000;

  static final String FENCE_SUFFIX = "/fence";

  private OrderSteps() {}

  /** Sends the order of an intent that was read back. */
  static Transition<NodeState, Effect> send(NodeState state, UnsettledOrder order, long ageMs) {
    SendOrder effect =
        new SendOrder(
            order.engine().id(),
            order.engine().address(),
            order.intent().id(),
            order.intent().offset(),
            order.intent().action(),
            Optional.of(order.intent().model()),
            order.intent().memoryMib(),
            SEND_WINDOW_MS - ageMs);
    return enter(state, order, OrderPhase.SENT)
        .with(effect)
        .with(decision(order, PlacementReason.INTENT_READ_BACK));
  }

  /** Starts to determine the outcome of an order. */
  static Transition<NodeState, Effect> resolve(NodeState state, UnsettledOrder order) {
    return order.engine().fencing().acceptsLateOrders()
        ? enter(state, order, OrderPhase.AWAITING_EXPIRY)
        : fence(state, order);
  }

  /** Requests the inventory that decides the outcome of an order. */
  static Transition<NodeState, Effect> awaitInventory(NodeState state, UnsettledOrder order) {
    return enter(state, order, OrderPhase.AWAITING_INVENTORY)
        .then(s -> requestInventory(s, order.engine()));
  }

  /** Requests the inventory of an engine. */
  static Transition<NodeState, Effect> requestInventory(NodeState state, Engine engine) {
    InventoryQuery query = new InventoryQuery(state.nowMs(), state.agreed().nextOffset());
    NodeState updated =
        withTracker(state, tracker(state).withInventoryRequested(engine.id(), state.nowMs()));
    return Transition.of(updated, new RequestInventory(engine.id(), engine.address(), query));
  }

  /** Submits the confirmation of an order that was carried out. */
  static Transition<NodeState, Effect> confirm(
      NodeState state, UnsettledOrder order, PlacementReason reason) {
    return settle(state, order, new PlacementConfirmed(order.intent().id()), reason);
  }

  /** Submits the abandonment of an order that has no effect. */
  static Transition<NodeState, Effect> abandon(
      NodeState state, UnsettledOrder order, AbandonProof proof, PlacementReason reason) {
    return settle(state, order, new PlacementAbandoned(order.intent().id(), proof), reason);
  }

  static Transition<NodeState, Effect> awaitAnswer(NodeState state, UnsettledOrder order) {
    return phaseAgeMs(state, order) < ANSWER_TIMEOUT_MS
        ? Transition.of(state)
        : resolve(state, order);
  }

  static Transition<NodeState, Effect> repeatFence(NodeState state, UnsettledOrder order) {
    return phaseAgeMs(state, order) < REPEAT_MS ? Transition.of(state) : fence(state, order);
  }

  static Transition<NodeState, Effect> awaitOrderExpiry(NodeState state, UnsettledOrder order) {
    boolean expired = state.nowMs() >= orderExpiryMs(state, order.engine().id());
    return expired ? awaitInventory(state, order) : Transition.of(state);
  }

  static Transition<NodeState, Effect> repeatInventoryRequest(
      NodeState state, UnsettledOrder order) {
    long lastRequestedAtMs =
        tracker(state).inventoryRequestedAtMs().getOrDefault(order.engine().id(), 0L);
    return state.nowMs() - lastRequestedAtMs < REPEAT_MS
        ? Transition.of(state)
        : requestInventory(state, order.engine());
  }

  static Transition<NodeState, Effect> awaitRecord(NodeState state, UnsettledOrder order) {
    return phaseAgeMs(state, order) < SETTLE_TIMEOUT_MS
        ? Transition.of(state)
        : resolve(state, order);
  }

  /** Returns the time from which no order that is in the log now can reach an engine. */
  static long orderExpiryMs(NodeState state, BackendId engine) {
    long sinceStartMs = tracker(state).startedMs() + maxOrderTransitMs(state);
    return Math.max(sinceStartMs, tracker(state).orderExpiryMs().getOrDefault(engine, 0L));
  }

  /** Returns the longest time from an intent to the arrival of its order, in milliseconds. */
  static long maxOrderTransitMs(NodeState state) {
    return SEND_WINDOW_MS + state.configuration().limits().maxOrderDelayMs();
  }

  static OrderTracker tracker(NodeState state) {
    return state.coordination().orders();
  }

  static NodeState withTracker(NodeState state, OrderTracker value) {
    return state.withCoordination(state.coordination().withOrders(value));
  }

  /**
   * Sends a fencing number that is one above that of the order and at most that of the next intent
   * for the engine, so that the engine refuses copies of this order and no later order.
   */
  private static Transition<NodeState, Effect> fence(NodeState state, UnsettledOrder order) {
    SendOrder effect =
        new SendOrder(
            order.engine().id(),
            order.engine().address(),
            order.intent().id() + FENCE_SUFFIX,
            order.intent().offset() + 1,
            PlacementAction.FENCE,
            Optional.empty(),
            0,
            SEND_WINDOW_MS);
    return enter(state, order, OrderPhase.FENCING)
        .with(effect)
        .with(decision(order, PlacementReason.OUTCOME_UNKNOWN));
  }

  private static Transition<NodeState, Effect> settle(
      NodeState state, UnsettledOrder order, LogRecord content, PlacementReason reason) {
    return enter(state, order, OrderPhase.SETTLING)
        .with(decision(order, reason))
        .then(s -> OutboxEvents.submit(s, content));
  }

  private static Transition<NodeState, Effect> enter(
      NodeState state, UnsettledOrder order, OrderPhase phase) {
    PendingOrder next = new PendingOrder(order.intent().id(), phase, state.nowMs());
    return Transition.of(withTracker(state, tracker(state).withPending(order.engine().id(), next)));
  }

  private static long phaseAgeMs(NodeState state, UnsettledOrder order) {
    return state.nowMs() - order.pending().sinceMs();
  }

  private static Effect decision(UnsettledOrder order, PlacementReason reason) {
    return new RecordDecision(
        new PlacementDecision(
            order.engine().id(),
            order.intent().model(),
            order.intent().id(),
            reason,
            Optional.empty()));
  }
}
