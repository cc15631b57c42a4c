package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.ModelWaitingDecision;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.InspectEngine;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReleaseDuty;
import org.limpetdoor.core.effect.RequestDuty;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.event.SuspensionSuspected;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;

class PlacementTest {
  private static final ModelKey M1 = ModelKey.of("m1");
  private static final ModelKey M2 = ModelKey.of("m2");
  private static final ModelKey M3 = ModelKey.of("m3");

  private final GatewayFixture fixture = new GatewayFixture();

  private static ModelKey adapter(int number) {
    return ModelKey.of("m1", "a" + number);
  }

  /** Makes the instance the holder of the placement duty and advances the time beyond the lease. */
  private void becomeHolder() {
    for (int i = 0; i < 8; i++) {
      fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
      fixture.advance(500);
    }
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
  }

  private void reportInventory(String engine, long orders, boolean busy, ModelKey... held) {
    EngineInventory inventory =
        new EngineInventory(
            1, orders, busy, HashTreePSet.from(List.of(held)), HashTreePSet.empty());
    fixture.reduce(
        new EngineInspected(fixture.nowMs(), new BackendId(engine), Optional.of(inventory)));
  }

  private EngineOrder answerOrder(EngineOrderResult result) {
    EngineOrder order = fixture.take(SendEngineOrder.class).get(0).order();
    fixture.reduce(new EngineOrderEnded(fixture.nowMs(), order.engine(), order.number(), result));
    return order;
  }

  private void setUpOneEngine(ModelKey... held) {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 3, held));
    becomeHolder();
    reportInventory("g1", 3, false, held);
  }

  /** Guards against orders from an instance that does not hold the placement duty. */
  @Test
  void sendsNoOrdersWithoutTheDuty() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 0, M1));

    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);
    fixture.advance(900);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against orders based on an entry of the list of engines, which lags behind. */
  @Test
  void inspectsAnEngineBeforeTheFirstOrder() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 3, M1));
    becomeHolder();
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);
    fixture.advance(900);

    assertThat(fixture.take(InspectEngine.class)).isNotEmpty();
    reportInventory("g1", 3, true, M1);
    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a call that waits longer than its adapter takes to load. */
  @Test
  void loadsARequestedAdapterAndServesTheCall() {
    setUpOneEngine(M1, M2);
    long id = fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    EngineOrder order = answerOrder(EngineOrderResult.ACCEPTED);
    fixture.advance(10);

    assertThat(order.target()).isEqualTo(adapter(1));
    assertThat(order.expectedOrders()).isEqualTo(3);
    assertThat(order.fencingNumber()).isEqualTo(5 * 64);
    assertThat(fixture.take(ForwardCall.class).get(0).call()).isEqualTo(id);
  }

  /** Guards against loading more adapters than an engine has slots for, which crashes it. */
  @Test
  void unloadsAnIdleAdapterBeforeItLoadsBeyondTheCapacity() {
    setUpOneEngine(M1, M2, adapter(1), adapter(2));
    fixture.call("/m/x", Optional.of(adapter(3)), 10_000);

    EngineOrder first = answerOrder(EngineOrderResult.ALREADY_DONE);
    EngineOrder second = answerOrder(EngineOrderResult.ACCEPTED);

    assertThat(first.action()).isEqualTo(Action.UNLOAD);
    assertThat(second.action()).isEqualTo(Action.LOAD);
    assertThat(second.target()).isEqualTo(adapter(3));
    assertThat(second.expectedOrders()).isEqualTo(4);
  }

  /** Guards against counting an adapter slot as free while an adapter in use still occupies it. */
  @Test
  void waitsUntilAnAdapterInUseIsUnloaded() {
    setUpOneEngine(M1, M2, adapter(1), adapter(2));
    fixture.call("/m/x", Optional.of(adapter(3)), 10_000);

    answerOrder(EngineOrderResult.ACCEPTED);
    fixture.advance(300);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a second order while the result of the first one is unknown. */
  @Test
  void inspectsAnEngineAfterALostResponse() {
    setUpOneEngine(M1, M2);
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    answerOrder(EngineOrderResult.UNKNOWN);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
    fixture.advance(300);
    assertThat(fixture.take(InspectEngine.class)).isNotEmpty();
  }

  /** Guards against applying an inventory that is older than the last order. */
  @Test
  void ignoresAnInventoryWithFewerOrders() {
    setUpOneEngine(M1, M2, adapter(1), adapter(2));
    fixture.call("/m/x", Optional.of(adapter(3)), 10_000);
    answerOrder(EngineOrderResult.ACCEPTED);

    reportInventory("g1", 3, false, M1, M2);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against orders with a fencing number below one that an engine has seen. */
  @Test
  void sendsNoOrdersAfterAnEngineSawAHigherFencingNumber() {
    setUpOneEngine(M1, M2);
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    answerOrder(EngineOrderResult.FENCED);
    fixture.advance(600);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /**
   * Guards against a store that grants the same generation again, whose fencing number engines
   * refuse permanently.
   */
  @Test
  void releasesTheDutyAfterAnEngineSawAHigherFencingNumber() {
    setUpOneEngine(M1, M2);
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);
    SendEngineOrder sent = fixture.take(SendEngineOrder.class).get(0);

    fixture.reduce(
        new EngineOrderEnded(
            fixture.nowMs(),
            sent.order().engine(),
            sent.order().number(),
            EngineOrderResult.FENCED));

    assertThat(fixture.take(ReleaseDuty.class)).hasSize(1);
  }

  /** Guards against evicting several replicas for the same model. */
  @Test
  void evictsOneReplicaForARequestedModel() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M2),
        GatewayFixture.entry("g2", "llm", 1, 0, M1, M2));
    becomeHolder();
    reportInventory("g1", 0, false, M1, M2);
    reportInventory("g2", 0, false, M1, M2);
    fixture.advance(1_000);
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.call("/m/x", Optional.of(M3), 10_000);
    fixture.advance(600);

    List<EngineOrder> orders =
        fixture.take(SendEngineOrder.class).stream().map(SendEngineOrder::order).toList();

    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).action()).isEqualTo(Action.UNLOAD);
  }

  /** Guards against loading a large model in place of a small one, where it does not fit. */
  @Test
  void evictsOnlyWhereTheModelFitsAfterwards() {
    fixture.withSmallModel();
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M2, GatewayFixture.SMALL),
        GatewayFixture.entry("g2", "llm", 1, 0, M1, M2, GatewayFixture.SMALL));
    becomeHolder();
    for (String engine : List.of("g1", "g2")) {
      reportInventory(engine, 0, false, M1, M2, GatewayFixture.SMALL);
    }
    fixture.advance(1_000);
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.call("/m/x", Optional.of(M3), 10_000);

    EngineOrder order = answerOrder(EngineOrderResult.ACCEPTED);

    assertThat(order.action()).isEqualTo(Action.UNLOAD);
    assertThat(order.target()).isNotEqualTo(GatewayFixture.SMALL);
  }

  /** Guards against a load without free memory after the order to unload was refused. */
  @Test
  void loadsNothingIfTheEvictionWasRefused() {
    setUpOneEngine(M1, M2);
    fixture.engines(GatewayFixture.entry("g2", "llm", 1, 0, M1, M2));
    reportInventory("g2", 0, false, M1, M2);
    fixture.advance(1_000);
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.call("/m/x", Optional.of(M3), 10_000);
    EngineOrder refused = answerOrder(EngineOrderResult.CONFLICT);
    fixture.advance(300);

    reportInventory(refused.engine().value(), 3, false, M1, M2);

    for (SendEngineOrder next : fixture.take(SendEngineOrder.class)) {
      assertThat(next.order().action()).isEqualTo(Action.UNLOAD);
    }
  }

  /** Guards against unloading an adapter just after it was loaded for a waiting call. */
  @Test
  void keepsAnAdapterThatIsInUse() {
    setUpOneEngine(M1, M2, adapter(1), adapter(2));
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);
    fixture.call("/m/x", Optional.of(adapter(3)), 10_000);

    EngineOrder order = answerOrder(EngineOrderResult.ALREADY_DONE);

    assertThat(order.target()).isEqualTo(adapter(2));
  }

  /** Guards against a pause of placement while the store answers no instance. */
  @Test
  void sendsOrdersWhileTheStoreAnswersNoInstance() {
    setUpOneEngine(M1, M2);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.advance(4_000);

    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(fixture.take(SendEngineOrder.class)).isNotEmpty();
  }

  /** Guards against requests to the store that grow with the fleet. */
  @Test
  void leavesTheDutyToTheFirstInstancesOfALargeFleet() {
    for (int i = 0; i < 12; i++) {
      fixture.peerDigest("a-node-" + i, true, 0);
    }
    fixture.take(RequestDuty.class);

    fixture.advance(900);

    assertThat(fixture.take(RequestDuty.class)).isEmpty();
  }

  /**
   * Guards against a pause of placement after the holder shuts down while the store is unreachable
   * and cannot grant the duty to another instance.
   */
  @Test
  void handsTheDutyOverAtAShutdownWhileTheStoreIsUnreachable() {
    setUpOneEngine(M1, M2);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.advance(4_000);
    fixture.peerDigest("node-2", false, 0);
    fixture.take(SendToPeer.class);
    long before = fixture.gateway().duty().fencingNumber();

    fixture.reduce(new DrainRequested(fixture.nowMs(), 7_000));

    assertThat(fixture.take(SendToPeer.class))
        .contains(new SendToPeer(new InstanceId("node-2"), new DutyHandedOver(before + 1)));
    assertThat(DutyEvents.maySendOrders(fixture.node())).isFalse();
  }

  /**
   * Guards against a successor that sends no orders after a handover, or sends them with a fencing
   * number that was already used.
   */
  @Test
  void sendsOrdersAfterAHandoverWhileTheStoreIsUnreachable() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 3, M1, M2));
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.peerDigest("node-2", false, 320);

    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(), new InstanceId("node-2"), new DutyHandedOver(321)));
    reportInventory("g1", 3, false, M1, M2);
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(fixture.take(SendEngineOrder.class).get(0).order().fencingNumber()).isEqualTo(321);
  }

  /**
   * Guards against two holders if the store has granted the duty to another instance in the
   * meantime.
   */
  @Test
  void refusesAHandoverWithAFencingNumberBelowAReportedOne() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.peerDigest("node-3", false, 384);

    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(), new InstanceId("node-3"), new DutyHandedOver(321)));

    assertThat(fixture.gateway().holdsDuty()).isFalse();
  }

  /**
   * Guards against a holder that releases the duty for good because a peer has not noticed yet that
   * the store answers no instance.
   */
  @Test
  void keepsTheDutyUntilPeersReportThatTheStoreIsUnreachable() {
    setUpOneEngine(M1, M2);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.advance(1_100);
    fixture.peerDigest("node-2", true, 0);
    fixture.advance(400);
    fixture.peerDigest("node-2", false, 0);

    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(fixture.take(SendEngineOrder.class)).isNotEmpty();
  }

  /** Guards against orders from an instance that alone has lost contact with the store. */
  @Test
  void stopsOrdersIfTheStoreAnswersAPeer() {
    setUpOneEngine(M1, M2);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    fixture.advance(4_000);
    fixture.peerDigest("node-2", true, 0);

    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a loaded model that the peers miss while the list of engines cannot be read. */
  @Test
  void inspectsTheEngineWhenALoadIsDueAndReportsItToThePeers() {
    setUpOneEngine(M1);
    fixture.peerDigest("node-2", true, 0);
    fixture.advance(1_000);
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.call("/m/x", Optional.of(M2), 10_000);
    EngineOrder order = answerOrder(EngineOrderResult.ACCEPTED);
    for (int i = 0; i < 5; i++) {
      fixture.advance(500);
      fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    }
    assertThat(fixture.take(InspectEngine.class)).isNotEmpty();

    reportInventory("g1", order.expectedOrders() + 1, false, M1, order.target());

    LoadedModelChanged message =
        new LoadedModelChanged(order.engine(), 1, order.expectedOrders() + 1, order.target(), true);
    assertThat(fixture.take(SendToPeer.class))
        .contains(new SendToPeer(new InstanceId("node-2"), message));
  }

  /**
   * Makes the instance the holder of the placement duty over engines with free memory for one more
   * model.
   */
  private void setUpEnginesWithFreeMemory(EngineEntry... entries) {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(entries);
    becomeHolder();
    for (EngineEntry entry : entries) {
      reportInventory(entry.id().value(), entry.ordersAccepted(), false, M1);
    }
  }

  /**
   * Guards against a load from the weight store, which takes five times as long as one from the
   * copy that another engine keeps of the weights.
   */
  @Test
  void choosesTheEngineWithACopyOfTheWeights() {
    EngineEntry second = GatewayFixture.entry("g2", "llm", 1, 0, M1);
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1), GatewayFixture.withCopies(second, "m2"));
    reportInventory("g1", 0, false, M1);
    reportInventory("g2", 0, false, M1);
    EngineSpec spec =
        fixture.gateway().table().orElseThrow().services().get("llm").engine().orElseThrow();

    ReplicaSelector selector = ReplicaSelector.of(fixture.node(), "llm", spec, true);

    assertThat(selector.engineWithFreeMemory(spec.models().get("m2")).orElseThrow().entry().id())
        .isEqualTo(new BackendId("g2"));
  }

  /** Guards against a load from a copy that waits for the rate limit of the weight store. */
  @Test
  void ordersALoadFromACopyWithoutALoadToken() {
    EngineEntry entry = GatewayFixture.entry("g1", "llm", 1, 0, M1);
    setUpEnginesWithFreeMemory(GatewayFixture.withCopies(entry, "m2", "m3"));

    EngineOrder order = answerOrder(EngineOrderResult.ACCEPTED);

    assertThat(order.source()).isEqualTo(EngineOrder.Source.COPY);
    assertThat(fixture.gateway().placement().loadTokens()).isEqualTo(3);
  }

  /**
   * Guards against a load from the weight store that is not counted, because the previous load
   * displaced the copy and the list of engines does not show that yet.
   */
  @Test
  void ignoresCopiesInAnEntryFromBeforeTheLastLoad() {
    EngineEntry entry =
        GatewayFixture.withCopies(GatewayFixture.entry("g1", "llm", 1, 0, M1), "m2", "m3");
    setUpEnginesWithFreeMemory(entry);
    fixture.call("/m/x", Optional.of(M2), 10_000);
    EngineOrder first = answerOrder(EngineOrderResult.ACCEPTED);
    reportInventory("g1", 1, false, M1, M2);

    OrderSlot slot = fixture.gateway().placement().slot(first.engine());

    assertThat(slot.listsCopy(entry, "m3")).isFalse();
    assertThat(
            slot.listsCopy(
                GatewayFixture.withCopies(GatewayFixture.entry("g1", "llm", 1, 1, M1, M2), "m3"),
                "m3"))
        .isTrue();
  }

  /**
   * Guards against evicting replicas of busy models in favour of idle ones before the first call.
   */
  @Test
  void keepsReplicasUntilTheDemandIsKnown() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M2),
        GatewayFixture.entry("g2", "llm", 1, 0, M1, M2));
    becomeHolder();
    reportInventory("g1", 0, false, M1, M2);
    reportInventory("g2", 0, false, M1, M2);

    fixture.advance(2_000);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against underestimating the demand for a busy model in the first second of traffic. */
  @Test
  void estimatesTheRateFromTheFirstCallsOn() {
    Placement placement = Placement.EMPTY;
    for (int tick = 1; tick <= 2; tick++) {
      placement =
          placement
              .decayed(250, tick * 250)
              .withArrivals(HashTreePMap.singleton(M1, 20), tick * 250);
    }

    assertThat(placement.callsPerS(M1, 500)).isWithin(15).of(80);
  }

  /**
   * Guards against demand that shifts faster than replicas are added, if each plan adds only one.
   */
  @Test
  void addsSeveralReplicasInOnePlan() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g0", "llm", 1, 0, M1, M2),
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M3),
        GatewayFixture.entry("g2", "llm", 1, 0, M1, M3),
        GatewayFixture.entry("g3", "llm", 1, 0, M1, M3));
    becomeHolder();
    reportInventory("g0", 0, false, M1, M2);
    for (String engine : List.of("g1", "g2", "g3")) {
      reportInventory(engine, 0, false, M1, M3);
    }
    for (int i = 0; i < 8; i++) {
      fixture.call("/m/x", Optional.of(M2), 10_000);
    }
    fixture.take(SendEngineOrder.class);

    fixture.advance(GatewayTick.INTERVAL_MS);

    assertThat(fixture.take(SendEngineOrder.class).size()).isAtLeast(2);
  }

  /**
   * Guards against orders of a holder that was suspended while another instance was granted the
   * duty, at engines that do not check fencing numbers.
   */
  @Test
  void sendsNoOrdersAfterASuspensionUntilTheStoreConfirmsTheDuty() {
    setUpOneEngine(M1);
    long askedAtMs = fixture.nowMs();
    fixture.take(SendEngineOrder.class);
    fixture.reduce(new SuspensionSuspected(fixture.nowMs() + 1, 5_000));
    fixture.advance(10);

    fixture.reduce(new DutyAnswered(fixture.nowMs(), askedAtMs, 0, 5, true));
    assertThat(fixture.gateway().holdsDuty()).isFalse();
    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();

    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    assertThat(fixture.gateway().holdsDuty()).isTrue();
  }

  private List<ModelWaitingDecision> takeWaitingReports() {
    return fixture.take(RecordDecision.class).stream()
        .map(RecordDecision::decision)
        .filter(ModelWaitingDecision.class::isInstance)
        .map(ModelWaitingDecision.class::cast)
        .toList();
  }

  /** Guards against an adapter that is never loaded without a line that says why. */
  @Test
  void reportsOnceASecondWhyARequestedAdapterIsNotLoaded() {
    setUpOneEngine(M1, M2, adapter(1), adapter(2));
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);
    fixture.call("/m/x", Optional.of(adapter(2)), 10_000);
    fixture.call("/m/x", Optional.of(adapter(3)), 10_000);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));

    fixture.advance(400);
    assertThat(takeWaitingReports()).isEmpty();
    fixture.advance(350);
    answerOrder(EngineOrderResult.ACCEPTED);
    fixture.advance(500);

    List<ModelWaitingDecision> reports = takeWaitingReports();
    assertThat(reports).hasSize(1);
    assertThat(reports.get(0).model()).isEqualTo(adapter(3));
    assertThat(reports.get(0).obstacle()).isEqualTo(PlacementObstacle.ADAPTERS_UNLOADING);
    assertThat(reports.get(0).baseEngines()).isEqualTo(1);
  }

  /** Guards against reports that name an order as missing although it is under way. */
  @Test
  void reportsThatARequestedModelIsOrdered() {
    setUpOneEngine(M1);
    fixture.call("/m/x", Optional.of(M2), 10_000);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));

    fixture.advance(1_250);

    assertThat(takeWaitingReports().stream().map(ModelWaitingDecision::obstacle))
        .contains(PlacementObstacle.ORDERED);
  }

  /** Guards against a busy model that nobody serves until its other replicas are loaded. */
  @Test
  void keepsTheLastServingReplicaWhileOthersAreLoaded() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M2), GatewayFixture.entry("g2", "llm", 1, 0));
    becomeHolder();
    reportInventory("g1", 0, false, M1, M2);
    for (int i = 0; i < 30; i++) {
      fixture.call("/m/x", Optional.of(M1), 10_000);
      fixture.call("/m/x", Optional.of(M2), 10_000);
    }
    fixture.advance(GatewayTick.INTERVAL_MS);
    reportInventory("g2", 0, false);
    EngineOrder load = answerOrder(EngineOrderResult.ACCEPTED);
    fixture.call("/m/x", Optional.of(M3), 10_000);
    fixture.advance(GatewayTick.INTERVAL_MS);

    assertThat(load.engine()).isEqualTo(new BackendId("g2"));
    assertThat(load.action()).isEqualTo(Action.LOAD);
    assertThat(load.target()).isNotEqualTo(M3);
    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  private void renewDuty(long ms) {
    for (long renewedMs = 0; renewedMs < ms; renewedMs += 500) {
      fixture.advance(500);
      fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    }
  }

  /** Guards against a model that is evicted before the callers for whom it was loaded return. */
  @Test
  void keepsALoadedModelUntilItsCallersReturn() {
    setUpOneEngine(M1);
    fixture.call("/m/x", Optional.of(M2), 10_000);
    EngineOrder load = answerOrder(EngineOrderResult.ACCEPTED);
    renewDuty(3_000);
    reportInventory("g1", load.expectedOrders() + 1, false, M1, M2);
    renewDuty(1_500);
    fixture.call("/m/x", Optional.of(M1), 10_000);
    fixture.advance(GatewayTick.INTERVAL_MS);
    fixture.take(SendEngineOrder.class);
    fixture.call("/m/x", Optional.of(M3), 10_000);
    fixture.advance(GatewayTick.INTERVAL_MS);

    assertThat(load.target()).isEqualTo(M2);
    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a requested model that never gets a place among models with rare calls. */
  @Test
  void replacesTheOnlyReplicaOfAModelWithRareCalls() {
    setUpOneEngine(M1, M2);
    int unloads = 0;
    for (int i = 0; i < 4; i++) {
      fixture.call("/m/x", Optional.of(M1), 500);
      fixture.call("/m/x", Optional.of(M2), 500);
      renewDuty(2_500);
      fixture.take(SendEngineOrder.class);
      fixture.call("/m/x", Optional.of(M3), 10_000);
      fixture.advance(GatewayTick.INTERVAL_MS);
      unloads += fixture.take(SendEngineOrder.class).isEmpty() ? 0 : 1;
    }

    assertThat(unloads).isAtLeast(1);
  }

  /** Guards against an adapter that waits for a busy engine while another one has an idle place. */
  @Test
  void loadsAnAdapterInPlaceOfAnIdleOneAtAnotherEngine() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M3, adapter(1), adapter(2)),
        GatewayFixture.entry("g2", "llm", 1, 0, M1, M2, adapter(3), adapter(4)));
    becomeHolder();
    reportInventory("g1", 0, false, M1, M3, adapter(1), adapter(2));
    reportInventory("g2", 0, false, M1, M2, adapter(3), adapter(4));
    for (ModelKey key : List.of(adapter(1), adapter(2), M2, M2, M2)) {
      fixture.call("/m/x", Optional.of(key), 10_000);
    }
    renewDuty(500);
    fixture.take(SendEngineOrder.class);

    fixture.call("/m/x", Optional.of(adapter(5)), 10_000);

    EngineOrder order = answerOrder(EngineOrderResult.ALREADY_DONE);
    assertThat(order.action()).isEqualTo(Action.UNLOAD);
    assertThat(order.engine()).isEqualTo(new BackendId("g2"));
  }

  /** Guards against an adapter that is never loaded because others are never idle. */
  @Test
  void loadsAnAdapterInPlaceOfOneInUseBeforeItsCallIsRefused() {
    setUpOneEngine(M1, M2, adapter(1), adapter(2));
    fixture.call("/m/x", Optional.of(adapter(1)), 10_000);
    fixture.call("/m/x", Optional.of(adapter(2)), 10_000);
    renewDuty(500);
    fixture.call("/m/x", Optional.of(adapter(3)), 10_000);
    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();

    fixture.advance(750);

    EngineOrder order = answerOrder(EngineOrderResult.ACCEPTED);
    assertThat(order.action()).isEqualTo(Action.UNLOAD);
    assertThat(order.target()).isAnyOf(adapter(1), adapter(2));
  }
}
