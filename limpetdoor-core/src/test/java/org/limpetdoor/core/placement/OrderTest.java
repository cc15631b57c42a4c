package org.limpetdoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.EngineAccount;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.Fleet;
import org.limpetdoor.core.agreed.FoldResult;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.BookedModel;
import org.limpetdoor.core.agreed.LogRecord.InventoryBooked;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.decision.AgreementDecision;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.InventoryReported;
import org.limpetdoor.core.event.OrderAnswered;
import org.limpetdoor.core.event.RecordsRead;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/**
 * Engine 0 checks fencing numbers and engine 1 ignores them; each holds the model of its number.
 */
class OrderTest {
  private static final BackendId CHECKING = Fleet.engineId(0);
  private static final BackendId IGNORING = Fleet.engineId(1);
  private static final ModelId SPARE = Fleet.modelId(2);

  private final List<SendOrder> orders = new ArrayList<>();
  private final List<RequestInventory> inventoryRequests = new ArrayList<>();
  private final List<FoldResult> results = new ArrayList<>();
  private Optional<Envelope> unread = Optional.empty();
  private long nextOffset;
  private long otherSequence;
  private long nowMs = 5_000;
  private NodeState state =
      NodeState.initial(new NodeState.Self(new InstanceId("a"), 1, new ZoneId("zone-0")));

  @BeforeEach
  void holdAllLeases() {
    reduce(new InstanceStarted(nowMs));
    readOther(Fleet.publication(2, 2, 1));
    run(1);
    assertThat(LeaseEvents.holds(state, Shards.of(CHECKING))).isTrue();
    assertThat(LeaseEvents.holds(state, Shards.of(IGNORING))).isTrue();
  }

  /** Guards against an order that leaves before its reservation is in the log. */
  @Test
  void orderIsSentWhenItsIntentIsReadBack() {
    intend(CHECKING, SPARE, PlacementAction.LOAD);
    assertThat(orders).isEmpty();
    readOwn();
    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).fencingNumber()).isEqualTo(nextOffset - 1);
    assertThat(account(CHECKING).reservedMib()).isEqualTo(2 * Fleet.MODEL_MIB);
    assertThat(state.agreed().ledger().servingOf(SPARE)).isEmpty();
    answer(OrderAnswer.DONE);
    readOwn();
    assertThat(state.agreed().ledger().servingOf(SPARE)).containsExactly(CHECKING);
  }

  /** Guards against a paused holder whose order arrives after another holder stopped waiting. */
  @Test
  void orderIsNotSentAfterItsWindow() {
    intend(IGNORING, SPARE, PlacementAction.LOAD);
    nowMs += OrderSteps.SEND_WINDOW_MS;
    readOwn();
    assertThat(orders).isEmpty();
    readOwn();
    assertThat(account(IGNORING).pending()).isEmpty();
    assertThat(account(IGNORING).reservedMib()).isEqualTo(Fleet.MODEL_MIB);
  }

  /** Guards against a late copy of the load that runs after the unload freed the memory. */
  @Test
  void unloadAtIgnoringEngineStaysReservedUntilOrdersExpire() {
    load(IGNORING);
    intend(IGNORING, SPARE, PlacementAction.UNLOAD);
    readOwn();
    answer(OrderAnswer.DONE);
    readOwn();
    assertThat(account(IGNORING).reservedMib()).isEqualTo(2 * Fleet.MODEL_MIB);
    assertThat(state.agreed().ledger().servingOf(SPARE)).containsExactly(CHECKING);

    inventoryRequests.clear();
    run(11);
    report(IGNORING, Fleet.modelId(1));
    readOwn();
    assertThat(account(IGNORING).reservedMib()).isEqualTo(Fleet.MODEL_MIB);
  }

  /** Guards against memory that is freed although a late load can still take it. */
  @Test
  void missingModelIsFreedOnlyAfterOrdersExpire() {
    load(IGNORING);
    run(1);
    apply(OrderSteps.requestInventory(state, state.configuration().engines().get(IGNORING)));
    report(IGNORING, Fleet.modelId(1));
    readOwn();
    assertThat(account(IGNORING).reservedMib()).isEqualTo(2 * Fleet.MODEL_MIB);

    run(11);
    apply(OrderSteps.requestInventory(state, state.configuration().engines().get(IGNORING)));
    report(IGNORING, Fleet.modelId(1));
    readOwn();
    assertThat(account(IGNORING).reservedMib()).isEqualTo(Fleet.MODEL_MIB);
  }

  /** Guards against loads onto an engine that holds more than the ledger has reserved. */
  @Test
  void modelsThatTheLedgerLacksAreBookedAndBlockLoads() {
    apply(OrderSteps.requestInventory(state, state.configuration().engines().get(CHECKING)));
    report(CHECKING, Fleet.modelId(0), Fleet.modelId(5), Fleet.modelId(6));
    readOwn();
    assertThat(account(CHECKING).reservedMib()).isEqualTo(3 * Fleet.MODEL_MIB);
    assertThat(results).contains(FoldResult.OVER_CAPACITY);
    assertThat(state.agreed().replicas(Fleet.modelId(5))).containsExactly(CHECKING);
    intend(CHECKING, SPARE, PlacementAction.LOAD);
    readOwn();
    assertThat(orders).isEmpty();
  }

  /** Guards against intents of a holder that was superseded while it was paused. */
  @Test
  void intentOfSupersededEpochReservesNothing() {
    int shard = Shards.of(CHECKING);
    long epoch = state.agreed().leases().get(shard).epoch();
    readOther(new LogRecord.LeaseClaimed(shard, new InstanceId("b"), epoch, LeaseEvents.TTL_MS));
    readOther(
        new PlacementIntended(
            "late", shard, epoch, CHECKING, SPARE, Fleet.MODEL_MIB, PlacementAction.LOAD));
    assertThat(account(CHECKING).pending()).isEmpty();
  }

  /** Guards against an old inventory that frees the memory of a model loaded since. */
  @Test
  void inventoryFromBeforeTheLastChangeIsRejected() {
    load(CHECKING);
    int shard = Shards.of(CHECKING);
    long epoch = state.agreed().leases().get(shard).epoch();
    List<BookedModel> absentModel = List.of(new BookedModel(SPARE, 0));
    readOther(new InventoryBooked(shard, epoch, CHECKING, absentModel, nextOffset - 1));
    assertThat(account(CHECKING).reservedMib()).isEqualTo(2 * Fleet.MODEL_MIB);
    readOther(new InventoryBooked(shard, epoch, CHECKING, absentModel, nextOffset));
    assertThat(account(CHECKING).reservedMib()).isEqualTo(Fleet.MODEL_MIB);
  }

  /** Guards against a model that no engine serves any more. */
  @Test
  void lastReplicaIsNotUnloaded() {
    intend(CHECKING, Fleet.modelId(0), PlacementAction.UNLOAD);
    readOwn();
    assertThat(orders).isEmpty();
    assertThat(state.agreed().ledger().servingOf(Fleet.modelId(0))).containsExactly(CHECKING);
  }

  private void load(BackendId engine) {
    intend(engine, SPARE, PlacementAction.LOAD);
    readOwn();
    answer(OrderAnswer.DONE);
    readOwn();
    assertThat(account(engine).reservedMib()).isEqualTo(2 * Fleet.MODEL_MIB);
    orders.clear();
  }

  /**
   * Before an unload of the spare model, books a second replica of it at the other engine, so that
   * the minimum permits the unload.
   */
  private void intend(BackendId engine, ModelId model, PlacementAction action) {
    if (action == PlacementAction.UNLOAD && model.equals(SPARE)) {
      BackendId otherEngine = engine.equals(CHECKING) ? IGNORING : CHECKING;
      int shard = Shards.of(otherEngine);
      long epoch = state.agreed().leases().get(shard).epoch();
      List<BookedModel> booked = List.of(new BookedModel(SPARE, Fleet.MODEL_MIB));
      readOther(new InventoryBooked(shard, epoch, otherEngine, booked, nextOffset));
    }
    apply(
        OrderEvents.submitIntent(
            state,
            engine,
            model,
            Fleet.MODEL_MIB,
            action,
            PlacementReason.DEMAND,
            Optional.empty()));
  }

  private EngineAccount account(BackendId engine) {
    return state.agreed().ledger().account(engine);
  }

  private void answer(OrderAnswer answer) {
    reduce(new OrderAnswered(nowMs, orders.get(orders.size() - 1).orderId(), answer));
  }

  private void report(BackendId engine, ModelId... models) {
    InventoryQuery query =
        inventoryRequests.stream()
            .filter(q -> q.engine().equals(engine))
            .reduce((first, second) -> second)
            .orElseThrow()
            .query();
    List<InventoryModel> held = new ArrayList<>();
    for (ModelId model : models) {
      held.add(new InventoryModel(model, Fleet.MODEL_MIB, true));
    }
    reduce(new InventoryReported(nowMs, engine, query, held));
  }

  private void run(int seconds) {
    for (int i = 0; i < seconds; i++) {
      nowMs += 1_000;
      reduce(new RecordsRead(nowMs, List.of()));
      reduce(new TimerFired(nowMs));
      readOwn();
    }
  }

  private void readOther(LogRecord content) {
    store(new Envelope(new AppendId("other", ++otherSequence), content));
  }

  private void readOwn() {
    while (unread.isPresent()) {
      Envelope next = unread.get();
      unread = Optional.empty();
      store(next);
    }
  }

  private void store(Envelope envelope) {
    reduce(new RecordsRead(nowMs, List.of(new StoredRecord(nextOffset++, envelope))));
  }

  private void reduce(Event event) {
    apply(new NodeReducer().reduce(state, event));
  }

  private void apply(Transition<NodeState, Effect> transition) {
    state = transition.state();
    for (Effect effect : transition.effects()) {
      if (effect instanceof AppendRecord append) {
        unread = Optional.of(append.envelope());
      } else if (effect instanceof SendOrder order) {
        orders.add(order);
      } else if (effect instanceof RequestInventory request) {
        inventoryRequests.add(request);
      } else if (effect instanceof RecordDecision recorded
          && recorded.decision() instanceof AgreementDecision decision) {
        results.add(decision.result());
      }
    }
  }
}
