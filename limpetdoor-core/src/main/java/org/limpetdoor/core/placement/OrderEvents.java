package org.limpetdoor.core.placement;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AbandonProof;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.decision.PlacementDecision;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.decision.PlanBasis;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.event.OrderAnswered;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.placement.OrderTracker.PendingOrder;

/** Reduces events of orders to engines. */
public final class OrderEvents {
  /** Interval between inventory requests to an engine without orders, in milliseconds. */
  static final long INVENTORY_INTERVAL_MS = 60_000;

  /**
   * Maximum number of overdue inventories requested per tick, because a new lease holder has many
   * engines to query.
   */
  static final int MAX_INVENTORY_REQUESTS = 8;

  private OrderEvents() {}

  /**
   * Records that the times at which earlier intents were read are unknown, so that their orders
   * expire as if they were read now.
   */
  public static NodeState started(NodeState state) {
    return OrderSteps.withTracker(state, OrderSteps.tracker(state).withStart(state.nowMs()));
  }

  /**
   * Submits an intent for an engine of a shard whose lease this process holds. The order is sent
   * when the intent is read back.
   */
  public static Transition<NodeState, Effect> submitIntent(
      NodeState state,
      BackendId engine,
      ModelId model,
      int memoryMib,
      PlacementAction action,
      PlacementReason reason,
      Optional<PlanBasis> basis) {
    int shard = Shards.of(engine);
    long epoch = state.coordination().leases().ownEpoch(shard).orElseThrow();
    OrderTracker tracker = OrderSteps.tracker(state);
    String intentId = state.self().appender() + "/" + (tracker.lastIntent() + 1);
    NodeState updated =
        OrderSteps.withTracker(state, tracker.withSubmitted(intentId, state.nowMs()));
    PlacementDecision decision = new PlacementDecision(engine, model, intentId, reason, basis);
    return Transition.<NodeState, Effect>of(updated, new RecordDecision(decision))
        .then(
            s ->
                OutboxEvents.submit(
                    s,
                    new PlacementIntended(
                        intentId, shard, epoch, engine, model, memoryMib, action)));
  }

  /**
   * Handles a folded record. An accepted intent delays the order expiry of its engine, and the
   * order of an intent of this process is sent.
   */
  public static Transition<NodeState, Effect> folded(
      NodeState state, StoredRecord stored, LogRecord content) {
    if (!(content instanceof PlacementIntended intended)) {
      return Transition.of(state);
    }
    Long submittedMs = OrderSteps.tracker(state).submittedMs().get(intended.intentId());
    NodeState updated =
        OrderSteps.withTracker(
            state, OrderSteps.tracker(state).withoutSubmitted(intended.intentId()));
    Optional<Intent> accepted =
        state
            .agreed()
            .ledger()
            .intent(intended.intentId())
            .filter(intent -> intent.offset() == stored.offset());
    if (accepted.isEmpty()) {
      return Transition.of(updated);
    }
    long orderExpiryMs = state.nowMs() + OrderSteps.maxOrderTransitMs(state);
    NodeState withExpiry =
        OrderSteps.withTracker(
            updated, OrderSteps.tracker(updated).withOrderExpiry(intended.engine(), orderExpiryMs));
    return submittedMs == null
        ? Transition.of(withExpiry)
        : sendReadBack(withExpiry, intended.engine(), accepted.get(), state.nowMs() - submittedMs);
  }

  /** Handles the answer to an order or to a fence, or its loss. */
  public static Transition<NodeState, Effect> answered(NodeState state, OrderAnswered event) {
    boolean fence = event.orderId().endsWith(OrderSteps.FENCE_SUFFIX);
    int length = event.orderId().length() - (fence ? OrderSteps.FENCE_SUFFIX.length() : 0);
    String intentId = event.orderId().substring(0, length);
    BackendId engine = state.agreed().ledger().intents().get(intentId);
    if (engine == null) {
      return Transition.of(state);
    }
    return unsettled(state, engine)
        .map(order -> answered(state, order, event.answer(), fence))
        .orElse(Transition.of(state));
  }

  /** Handles an inventory: settles the order that waits for it, and reconciles the ledger. */
  public static Transition<NodeState, Effect> inventoryReported(
      NodeState state, InventoryReported event) {
    if (!LeaseEvents.holds(state, Shards.of(event.engine()))) {
      return Transition.of(state);
    }
    Optional<UnsettledOrder> order = unsettled(state, event.engine());
    Transition<NodeState, Effect> settled =
        order.map(o -> settleByInventory(state, o, event)).orElse(Transition.of(state));
    return settled.then(s -> Reconciliation.book(s, event));
  }

  /** Continues unsettled orders of held shards and requests overdue inventories. */
  public static Transition<NodeState, Effect> tick(NodeState state) {
    if (!LeaseEvents.followsLog(state)) {
      return Transition.of(state);
    }
    Transition<NodeState, Effect> result = Transition.of(withoutLostShards(state));
    for (int shard : LeaseEvents.heldShards(state)) {
      for (BackendId engine : state.agreed().ledger().enginesOf(shard)) {
        result = result.then(s -> tick(s, engine));
      }
    }
    return result.then(OrderEvents::requestOverdueInventories);
  }

  private static Transition<NodeState, Effect> tick(NodeState state, BackendId engine) {
    Optional<Intent> intent = state.agreed().ledger().account(engine).pending();
    if (intent.isEmpty()) {
      NodeState idle =
          OrderSteps.withTracker(state, OrderSteps.tracker(state).withoutPending(engine));
      return Transition.of(idle);
    }
    return unsettled(state, engine)
        .map(order -> order.pending().phase().tick(state, order))
        .orElseGet(() -> takeOverOrder(state, engine, intent.get()));
  }

  /** Starts to determine the outcome of an order that the previous holder may have sent. */
  private static Transition<NodeState, Effect> takeOverOrder(
      NodeState state, BackendId engine, Intent intent) {
    PendingOrder pending = new PendingOrder(intent.id(), OrderPhase.AWAITING_EXPIRY, state.nowMs());
    return OrderSteps.resolve(
        state, new UnsettledOrder(configured(state, engine), intent, pending));
  }

  private static Transition<NodeState, Effect> sendReadBack(
      NodeState state, BackendId engine, Intent intent, long ageMs) {
    PendingOrder pending = new PendingOrder(intent.id(), OrderPhase.SENT, state.nowMs());
    UnsettledOrder order = new UnsettledOrder(configured(state, engine), intent, pending);
    boolean inTime = ageMs < OrderSteps.SEND_WINDOW_MS;
    if (!inTime || !LeaseEvents.holds(state, Shards.of(engine))) {
      return OrderSteps.abandon(
          state, order, AbandonProof.NEVER_SENT, PlacementReason.SEND_WINDOW_PASSED);
    }
    if (intent.load() && LoadLimitParts.availableLoads(state, engine, intent.offset()) < 1) {
      return OrderSteps.abandon(state, order, AbandonProof.NEVER_SENT, PlacementReason.STORE_BUSY);
    }
    return OrderSteps.send(state, order, ageMs);
  }

  private static Transition<NodeState, Effect> answered(
      NodeState state, UnsettledOrder order, OrderAnswer answer, boolean fence) {
    OrderPhase phase = order.pending().phase();
    if (fence) {
      boolean reached = phase == OrderPhase.FENCING && answer != OrderAnswer.UNKNOWN;
      return reached ? OrderSteps.awaitInventory(state, order) : Transition.of(state);
    }
    boolean lateLoadPossible =
        order.engine().fencing().acceptsLateOrders() && !order.intent().load();
    if (answer == OrderAnswer.DONE && !lateLoadPossible && phase != OrderPhase.SETTLING) {
      return OrderSteps.confirm(state, order, PlacementReason.ANSWERED);
    }
    return phase == OrderPhase.SENT ? OrderSteps.resolve(state, order) : Transition.of(state);
  }

  private static Transition<NodeState, Effect> settleByInventory(
      NodeState state, UnsettledOrder order, InventoryReported event) {
    boolean conclusive =
        order.pending().phase() == OrderPhase.AWAITING_INVENTORY
            && event.query().requestedAtMs() >= order.pending().sinceMs();
    if (!conclusive) {
      return Transition.of(state);
    }
    Optional<InventoryModel> held =
        event.held().stream().filter(h -> h.model().equals(order.intent().model())).findFirst();
    if (held.filter(h -> !h.ready()).isPresent()) {
      return Transition.of(state);
    }
    if (held.isPresent() == order.intent().load()) {
      return OrderSteps.confirm(state, order, PlacementReason.INVENTORY_SHOWS_EFFECT);
    }
    AbandonProof proof =
        order.engine().fencing().acceptsLateOrders()
            ? AbandonProof.INVENTORY_AFTER_DELAY
            : AbandonProof.INVENTORY_AFTER_FENCE;
    return OrderSteps.abandon(state, order, proof, PlacementReason.INVENTORY_SHOWS_NO_EFFECT);
  }

  private static Transition<NodeState, Effect> requestOverdueInventories(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    int requested = 0;
    for (int shard : LeaseEvents.heldShards(state)) {
      for (BackendId engine : state.agreed().ledger().enginesOf(shard)) {
        Long lastMs = OrderSteps.tracker(state).inventoryRequestedAtMs().get(engine);
        boolean overdue = lastMs == null || state.nowMs() - lastMs >= INVENTORY_INTERVAL_MS;
        if (overdue && requested < MAX_INVENTORY_REQUESTS) {
          requested++;
          result = result.then(s -> OrderSteps.requestInventory(s, configured(s, engine)));
        }
      }
    }
    return result;
  }

  /**
   * Removes the pending orders of shards whose lease is lost, because the new holder takes them
   * over.
   */
  private static NodeState withoutLostShards(NodeState state) {
    OrderTracker tracker = OrderSteps.tracker(state);
    for (BackendId engine : tracker.pending().keySet()) {
      tracker =
          LeaseEvents.holds(state, Shards.of(engine)) ? tracker : tracker.withoutPending(engine);
    }
    return OrderSteps.withTracker(state, tracker);
  }

  private static Optional<UnsettledOrder> unsettled(NodeState state, BackendId engine) {
    Engine configured = configured(state, engine);
    Optional<Intent> intent = state.agreed().ledger().account(engine).pending();
    if (configured == null || intent.isEmpty()) {
      return Optional.empty();
    }
    return OrderSteps.tracker(state)
        .find(engine, intent.get().id())
        .map(pending -> new UnsettledOrder(configured, intent.get(), pending));
  }

  private static Engine configured(NodeState state, BackendId engine) {
    return state.configuration().engines().get(engine);
  }
}
