package org.limpetdoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.Fleet;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.backend.LeavingStatus;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.decision.PlacementDecision;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.event.DemandReported;
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

/** One instance holds all leases; engine i is in zone i mod 3 and has memory for two models. */
class PlannerTest {
  private static final InstanceId SELF = new InstanceId("a");
  private static final int STORE_LOADS = 3;

  private final List<SendOrder> orders = new ArrayList<>();
  private final List<PlacementDecision> plans = new ArrayList<>();
  private final List<RequestInventory> inventoryRequests = new ArrayList<>();
  private final List<Envelope> unread = new ArrayList<>();
  private boolean readsIntents = true;
  private boolean answersOrders = true;
  private final Map<BackendId, Set<ModelId>> loadedModels = new HashMap<>();
  private int answeredOrders;
  private int demandSlots;
  private ModelId demandedModel = Fleet.modelId(0);
  private long nextOffset;
  private long nowMs = 5_000;
  private NodeState state = NodeState.initial(new NodeState.Self(SELF, 1, new ZoneId("zone-0")));

  /** Guards against models that the failure of one zone makes unavailable. */
  @Test
  void minimumIsLoadedInDifferentZones() {
    start(6, 3, 2, 100);
    run(30);
    for (int i = 0; i < 3; i++) {
      assertThat(zones(Fleet.modelId(i)).size()).isAtLeast(2);
    }
    PlacementDecision plan = plans.get(0);
    assertThat(plan.reason()).isEqualTo(PlacementReason.BELOW_MINIMUM);
    assertThat(plan.basis().orElseThrow().minimum()).isEqualTo(2);
    assertThat(plan.basis().orElseThrow().serving()).isEqualTo(1);
  }

  /** Guards against enough replicas that are all in one zone. */
  @Test
  void secondZoneIsAddedToEnoughReplicas() {
    start(6, 1, 2, 100);
    run(10);
    Configuration content = state.configuration();
    List<Engine> engines = new ArrayList<>(content.engines().values());
    engines.add(Fleet.engine(6, List.of(Fleet.modelId(1))));
    engines.add(Fleet.engine(9, List.of(Fleet.modelId(1))));
    Model model = Fleet.model(1, 2);
    publish(
        ConfigurationPatch.between(
            content, content.withModels(List.of(model)).withEngines(engines)));
    assertThat(zones(model.id())).hasSize(1);
    run(10);
    assertThat(zones(model.id())).hasSize(2);
    assertThat(state.agreed().replicas(model.id())).hasSize(3);
  }

  /** Guards against a second load of the same model while the first intent is not read back. */
  @Test
  void planWaitsUntilIntentsAreReadBack() {
    start(9, 3, 2, 100);
    readsIntents = false;
    run(4);
    assertThat(plans).isNotEmpty();
    assertThat(plans.size()).isAtMost(3);
  }

  /** Guards against more replicas than required, loaded by shards that act at the same time. */
  @Test
  void shortageIsFilledOnce() {
    start(9, 3, 2, 100);
    run(60);
    assertThat(orders).hasSize(3);
  }

  /** Guards against models that stay unreachable after their engine died. */
  @Test
  void modelsOfUnreachableEngineAreLoadedElsewhere() {
    start(4, 2, 1, 100);
    run(5);
    assertThat(orders).isEmpty();
    unreachable(0, nowMs + 300_000);
    run(8);
    assertThat(orders).isEmpty();
    run(20);
    assertThat(state.agreed().replicas(Fleet.modelId(0)).size()).isEqualTo(2);
    assertThat(state.agreed().replicas(Fleet.modelId(1)).size()).isEqualTo(1);
  }

  /** Guards against models that become unavailable when their engine leaves. */
  @Test
  void modelsOfLeavingEngineAreLoadedElsewhere() {
    start(4, 2, 1, 100);
    state =
        state.withBackends(
            state
                .backends()
                .update(
                    Fleet.engineId(0),
                    b -> b.withLeavingStatus(LeavingStatus.NONE.withAnnouncement(nowMs))));
    run(20);
    assertThat(state.agreed().replicas(Fleet.modelId(0)).size()).isEqualTo(2);
  }

  /** Guards against replicas that are loaded only when the present ones are full. */
  @Test
  void growingDemandLoadsAheadOfNeed() {
    start(6, 1, 1, 100);
    run(5);
    for (int slots = 1; slots <= 3; slots++) {
      demandSlots = slots;
      run(2);
    }
    assertThat(plans).isNotEmpty();
    assertThat(plans.get(0).reason()).isEqualTo(PlacementReason.DEMAND);
    assertThat(demandSlots).isAtMost(3);
  }

  /**
   * Guards against replicas that are loaded and unloaded with each burst of two models that share
   * the engines.
   */
  @Test
  void alternatingBurstsCauseNoFurtherOrders() {
    start(4, 4, 1, 100);
    demandSlots = 12;
    run(20);
    demandedModel = Fleet.modelId(1);
    run(20);
    assertThat(orders).hasSize(4);
    for (int burst = 0; burst < 6; burst++) {
      demandedModel = Fleet.modelId(burst % 2);
      run(12);
    }
    assertThat(orders).hasSize(4);
  }

  /**
   * Guards against memory that replicas of an idle model keep, and against an unload of its last
   * replica.
   */
  @Test
  void surplusIsUnloadedOnlyWhileAnotherReplicaServes() {
    start(2, 2, 1, 100);
    demandSlots = 8;
    run(20);
    assertThat(state.agreed().replicas(Fleet.modelId(0)).size()).isEqualTo(2);
    demandedModel = Fleet.modelId(1);
    run(20);
    assertThat(state.agreed().replicas(Fleet.modelId(1)).size()).isEqualTo(2);
    clearOrders();
    publishModel(2);
    run(200);
    assertThat(orders.stream().filter(o -> o.action() == PlacementAction.UNLOAD).count())
        .isEqualTo(1);
    for (int i = 0; i < 3; i++) {
      assertThat(state.agreed().replicas(Fleet.modelId(i))).isNotEmpty();
    }
  }

  /** Guards against a weight store that slows down because all shards load at once. */
  @Test
  void loadsStayWithinConcurrencyOfWeightStore() {
    answersOrders = false;
    start(12, 10, 2, 100);
    run(20);
    assertThat(orders).isNotEmpty();
    assertThat(orders.size()).isAtMost(STORE_LOADS);
    answersOrders = true;
    run(20);
    assertThat(orders.size()).isGreaterThan(STORE_LOADS);
  }

  /**
   * Guards against an engine that dies while loading and permanently blocks the loads of others.
   */
  @Test
  void unansweredLoadsReleaseTheirPartOfTheLimit() {
    answersOrders = false;
    start(12, 10, 2, 100);
    run(20);
    int unansweredOrders = orders.size();
    run(60);
    assertThat(orders.stream().filter(o -> o.action() == PlacementAction.LOAD).count())
        .isGreaterThan((long) unansweredOrders);
  }

  /** Guards against loads at a higher rate than the weight store supports. */
  @Test
  void loadsStayWithinRateOfWeightStore() {
    start(12, 10, 2, 0.5);
    for (int second = 1; second <= 60; second++) {
      run(1);
      assertThat(orders.size()).isAtMost((second + 1) / 2);
    }
    assertThat(orders).isNotEmpty();
  }

  private void start(int engines, int models, int minReplicas, double storeRate) {
    reduce(new InstanceStarted(nowMs));
    ConfigurationPublished fleet = Fleet.publication(engines, models, minReplicas);
    Configuration content =
        fleet
            .patch()
            .applyTo(Configuration.EMPTY)
            .withLimits(new PlatformLimits(storeRate, STORE_LOADS, 25, Fleet.MAX_ORDER_DELAY_MS));
    publish(ConfigurationPatch.of(content));
    run(1);
    assertThat(LeaseEvents.heldShards(state)).isNotEmpty();
  }

  private void publishModel(int number) {
    Model model = Fleet.model(number, 1);
    List<Model> models = new ArrayList<>(state.configuration().models().values());
    models.add(model);
    Configuration next = state.configuration().withModels(models);
    publish(ConfigurationPatch.between(state.configuration(), next));
  }

  private void publish(ConfigurationPatch patch) {
    long base = state.agreed().configurationVersion();
    store(
        new Envelope(
            new AppendId("operator", nextOffset + 1),
            new ConfigurationPublished(base, "operator", patch)));
  }

  private void unreachable(int engine, long untilMs) {
    state =
        state.withBackends(
            state
                .backends()
                .update(Fleet.engineId(engine), b -> b.withUnreachableUntilMs(untilMs)));
  }

  private Set<ZoneId> zones(ModelId model) {
    Set<ZoneId> zones = new HashSet<>();
    for (BackendId engine : new TreeSet<>(state.agreed().replicas(model))) {
      zones.add(state.configuration().engines().get(engine).zone());
    }
    return zones;
  }

  private void run(int seconds) {
    for (int i = 0; i < seconds; i++) {
      nowMs += 1_000;
      reduce(new RecordsRead(nowMs, List.of()));
      reduce(
          new DemandReported(nowMs, SELF, List.of(new ModelDemand(demandedModel, demandSlots, 0))));
      reduce(new TimerFired(nowMs));
      settle();
    }
  }

  /** Reads appended records back, and answers orders and inventory requests until none are left. */
  private void settle() {
    if (!readsIntents) {
      return;
    }
    while (!inventoryRequests.isEmpty() && answersOrders) {
      reportInventory(inventoryRequests.remove(0));
    }
    while (!unread.isEmpty() || (answersOrders && answeredOrders < orders.size())) {
      if (!unread.isEmpty()) {
        store(unread.remove(0));
      } else {
        executeOrder(orders.get(answeredOrders++));
      }
    }
  }

  private void executeOrder(SendOrder order) {
    Set<ModelId> models = loadedModels.computeIfAbsent(order.engine(), this::initialModels);
    if (order.action() == PlacementAction.LOAD) {
      models.add(order.model().orElseThrow());
    } else {
      order.model().ifPresent(models::remove);
    }
    reduce(new OrderAnswered(nowMs, order.orderId(), OrderAnswer.DONE));
  }

  private Set<ModelId> initialModels(BackendId engine) {
    return new HashSet<>(state.configuration().engines().get(engine).initialModels());
  }

  private void reportInventory(RequestInventory request) {
    List<InventoryModel> models =
        loadedModels.computeIfAbsent(request.engine(), this::initialModels).stream()
            .map(model -> new InventoryModel(model, Fleet.MODEL_MIB, true))
            .toList();
    reduce(new InventoryReported(nowMs, request.engine(), request.query(), models));
  }

  private void clearOrders() {
    orders.clear();
    answeredOrders = 0;
  }

  private void store(Envelope envelope) {
    reduce(new RecordsRead(nowMs, List.of(new StoredRecord(nextOffset++, envelope))));
  }

  private void reduce(Event event) {
    Transition<NodeState, Effect> transition = new NodeReducer().reduce(state, event);
    state = transition.state();
    for (Effect effect : transition.effects()) {
      if (effect instanceof AppendRecord append) {
        unread.add(append.envelope());
      } else if (effect instanceof SendOrder order) {
        orders.add(order);
      } else if (effect instanceof RequestInventory request) {
        inventoryRequests.add(request);
      } else if (effect instanceof RecordDecision recorded
          && recorded.decision() instanceof PlacementDecision plan
          && plan.basis().isPresent()) {
        plans.add(plan);
      }
    }
  }
}
