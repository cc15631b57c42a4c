package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.InspectEngine;
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

  private final GatewayWorld world = new GatewayWorld();

  private static ModelKey adapter(int number) {
    return ModelKey.of("m1", "a" + number);
  }

  /** Makes the instance the holder of the duty and lets the lease pass. */
  private void becomeHolder() {
    for (int i = 0; i < 8; i++) {
      world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
      world.advance(500);
    }
    world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
  }

  private void inspected(String engine, long orders, boolean busy, ModelKey... held) {
    EngineInventory inventory =
        new EngineInventory(
            1, orders, busy, HashTreePSet.from(List.of(held)), HashTreePSet.empty());
    world.reduce(new EngineInspected(world.nowMs(), new BackendId(engine), Optional.of(inventory)));
  }

  private EngineOrder answer(EngineOrderResult result) {
    EngineOrder order = world.take(SendEngineOrder.class).get(0).order();
    world.reduce(new EngineOrderEnded(world.nowMs(), order.engine(), order.number(), result));
    return order;
  }

  private void oneEngine(ModelKey... held) {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(GatewayWorld.entry("g1", "llm", 1, 3, held));
    becomeHolder();
    inspected("g1", 3, false, held);
  }

  /** Guards against orders of an instance that does not hold the duty. */
  @Test
  void givesNoOrdersWithoutTheDuty() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(GatewayWorld.entry("g1", "llm", 1, 0, M1));

    world.call("/m/x", Optional.of(adapter(1)), 10_000);
    world.advance(900);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against orders that rest on an entry of the list, which lags behind. */
  @Test
  void asksAnEngineBeforeTheFirstOrder() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(GatewayWorld.entry("g1", "llm", 1, 3, M1));
    becomeHolder();
    world.call("/m/x", Optional.of(adapter(1)), 10_000);
    world.advance(900);

    assertThat(world.take(InspectEngine.class)).isNotEmpty();
    inspected("g1", 3, true, M1);
    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a call that waits longer than the load of its adapter. */
  @Test
  void loadsAWantedAdapterAndServesTheCall() {
    oneEngine(M1, M2);
    long id = world.call("/m/x", Optional.of(adapter(1)), 10_000);

    EngineOrder order = answer(EngineOrderResult.ACCEPTED);
    world.advance(10);

    assertThat(order.target()).isEqualTo(adapter(1));
    assertThat(order.expectedOrders()).isEqualTo(3);
    assertThat(order.fencingNumber()).isEqualTo(5 * 64);
    assertThat(world.take(ForwardCall.class).get(0).call()).isEqualTo(id);
  }

  /** Guards against more adapters than an engine has room for, which crashes it. */
  @Test
  void dropsAnIdleAdapterBeforeItLoadsBeyondTheCapacity() {
    oneEngine(M1, M2, adapter(1), adapter(2));
    world.call("/m/x", Optional.of(adapter(3)), 10_000);

    EngineOrder first = answer(EngineOrderResult.ALREADY_DONE);
    EngineOrder second = answer(EngineOrderResult.ACCEPTED);

    assertThat(first.action()).isEqualTo(Action.UNLOAD);
    assertThat(second.action()).isEqualTo(Action.LOAD);
    assertThat(second.target()).isEqualTo(adapter(3));
    assertThat(second.expectedOrders()).isEqualTo(4);
  }

  /** Guards against room that is counted as free while an adapter in use is still there. */
  @Test
  void waitsForAnAdapterInUseToLeave() {
    oneEngine(M1, M2, adapter(1), adapter(2));
    world.call("/m/x", Optional.of(adapter(3)), 10_000);

    answer(EngineOrderResult.ACCEPTED);
    world.advance(300);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a second order while the answer to the first one is unknown. */
  @Test
  void asksAnEngineAfterALostAnswer() {
    oneEngine(M1, M2);
    world.call("/m/x", Optional.of(adapter(1)), 10_000);

    answer(EngineOrderResult.UNKNOWN);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
    world.advance(300);
    assertThat(world.take(InspectEngine.class)).isNotEmpty();
  }

  /** Guards against a report that is older than the last order. */
  @Test
  void ignoresAReportThatKnowsFewerOrders() {
    oneEngine(M1, M2, adapter(1), adapter(2));
    world.call("/m/x", Optional.of(adapter(3)), 10_000);
    answer(EngineOrderResult.ACCEPTED);

    inspected("g1", 3, false, M1, M2);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against orders with a fencing number that an engine has seen exceeded. */
  @Test
  void givesNoOrdersAfterAnEngineSawAHigherNumber() {
    oneEngine(M1, M2);
    world.call("/m/x", Optional.of(adapter(1)), 10_000);

    answer(EngineOrderResult.FENCED);
    world.advance(600);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /**
   * Guards against a store that deals the same generation again, whose number engines refuse for
   * ever.
   */
  @Test
  void leavesTheGroupAfterAnEngineSawAHigherNumber() {
    oneEngine(M1, M2);
    world.call("/m/x", Optional.of(adapter(1)), 10_000);
    SendEngineOrder given = world.take(SendEngineOrder.class).get(0);

    world.reduce(
        new EngineOrderEnded(
            world.nowMs(),
            given.order().engine(),
            given.order().number(),
            EngineOrderResult.FENCED));

    assertThat(world.take(ReleaseDuty.class)).hasSize(1);
  }

  /** Guards against several replicas that make way for the same model. */
  @Test
  void makesRoomOnceForAWantedModel() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(
        GatewayWorld.entry("g1", "llm", 1, 0, M1, M2),
        GatewayWorld.entry("g2", "llm", 1, 0, M1, M2));
    becomeHolder();
    inspected("g1", 0, false, M1, M2);
    inspected("g2", 0, false, M1, M2);
    world.advance(1_000);
    world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
    world.call("/m/x", Optional.of(M3), 10_000);
    world.advance(600);

    List<EngineOrder> orders =
        world.take(SendEngineOrder.class).stream().map(SendEngineOrder::order).toList();

    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).action()).isEqualTo(Action.UNLOAD);
  }

  /** Guards against a large model that is ordered into the room of a small one. */
  @Test
  void makesRoomOnlyWhereTheModelFitsAfterwards() {
    world.withSmallModel();
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(
        GatewayWorld.entry("g1", "llm", 1, 0, M1, M2, GatewayWorld.SMALL),
        GatewayWorld.entry("g2", "llm", 1, 0, M1, M2, GatewayWorld.SMALL));
    becomeHolder();
    for (String engine : List.of("g1", "g2")) {
      inspected(engine, 0, false, M1, M2, GatewayWorld.SMALL);
    }
    world.advance(1_000);
    world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
    world.call("/m/x", Optional.of(M3), 10_000);

    EngineOrder order = answer(EngineOrderResult.ACCEPTED);

    assertThat(order.action()).isEqualTo(Action.UNLOAD);
    assertThat(order.target()).isNotEqualTo(GatewayWorld.SMALL);
  }

  /** Guards against a load without room after the order to make room was refused. */
  @Test
  void loadsNothingIfTheRoomWasNotMade() {
    oneEngine(M1, M2);
    world.engines(GatewayWorld.entry("g2", "llm", 1, 0, M1, M2));
    inspected("g2", 0, false, M1, M2);
    world.advance(1_000);
    world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
    world.call("/m/x", Optional.of(M3), 10_000);
    EngineOrder refused = answer(EngineOrderResult.CONFLICT);
    world.advance(300);

    inspected(refused.engine().value(), 3, false, M1, M2);

    for (SendEngineOrder next : world.take(SendEngineOrder.class)) {
      assertThat(next.order().action()).isEqualTo(Action.UNLOAD);
    }
  }

  /** Guards against an adapter that is dropped just after it was loaded for a waiting call. */
  @Test
  void keepsAnAdapterThatIsInUse() {
    oneEngine(M1, M2, adapter(1), adapter(2));
    world.call("/m/x", Optional.of(adapter(1)), 10_000);
    world.call("/m/x", Optional.of(adapter(3)), 10_000);

    EngineOrder order = answer(EngineOrderResult.ALREADY_DONE);

    assertThat(order.target()).isEqualTo(adapter(2));
  }

  /** Guards against a pause of placement while the store answers nobody. */
  @Test
  void goesOnWhileTheStoreIsAway() {
    oneEngine(M1, M2);
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.advance(4_000);

    world.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(world.take(SendEngineOrder.class)).isNotEmpty();
  }

  /** Guards against calls to the store that grow with the fleet. */
  @Test
  void leavesTheDutyToTheFirstInstancesOfALargeFleet() {
    for (int i = 0; i < 12; i++) {
      world.peerDigest("a-node-" + i, true, 0);
    }
    world.take(RequestDuty.class);

    world.advance(900);

    assertThat(world.take(RequestDuty.class)).isEmpty();
  }

  /**
   * Guards against a pause of placement after the holder is stopped while the store is away and
   * cannot deal the duty to another instance.
   */
  @Test
  void handsTheDutyOnAtAShutdownWhileTheStoreIsAway() {
    oneEngine(M1, M2);
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.advance(4_000);
    world.peerDigest("node-2", false, 0);
    world.take(SendToPeer.class);
    long before = world.gateway().duty().fencingNumber();

    world.reduce(new DrainRequested(world.nowMs(), 7_000));

    assertThat(world.take(SendToPeer.class))
        .contains(new SendToPeer(new InstanceId("node-2"), new DutyHandedOver(before + 1)));
    assertThat(DutyEvents.acts(world.node())).isFalse();
  }

  /** Guards against an heir that gives no orders, or gives them with a number that was used. */
  @Test
  void actsOnADutyThatWasHandedOnWhileTheStoreIsAway() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(GatewayWorld.entry("g1", "llm", 1, 3, M1, M2));
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.peerDigest("node-2", false, 320);

    world.reduce(
        new PeerMessageReceived(world.nowMs(), new InstanceId("node-2"), new DutyHandedOver(321)));
    inspected("g1", 3, false, M1, M2);
    world.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(world.take(SendEngineOrder.class).get(0).order().fencingNumber()).isEqualTo(321);
  }

  /** Guards against two holders, when the store has dealt the duty to another instance since. */
  @Test
  void refusesADutyThatIsOlderThanOneThatItHeardOf() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.peerDigest("node-3", false, 384);

    world.reduce(
        new PeerMessageReceived(world.nowMs(), new InstanceId("node-3"), new DutyHandedOver(321)));

    assertThat(world.gateway().holdsDuty()).isFalse();
  }

  /**
   * Guards against a holder that gives the duty up for good, because a peer has not noticed yet
   * that the store answers nobody.
   */
  @Test
  void keepsTheDutyUntilPeersHaveNoticedThatTheStoreIsAway() {
    oneEngine(M1, M2);
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.advance(1_100);
    world.peerDigest("node-2", true, 0);
    world.advance(400);
    world.peerDigest("node-2", false, 0);

    world.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(world.take(SendEngineOrder.class)).isNotEmpty();
  }

  /** Guards against orders of an instance that alone has lost the store. */
  @Test
  void ceasesIfTheStoreAnswersAPeer() {
    oneEngine(M1, M2);
    world.reduce(new StoreContactChanged(world.nowMs(), false));
    world.advance(4_000);
    world.peerDigest("node-2", true, 0);

    world.call("/m/x", Optional.of(adapter(1)), 10_000);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a model that peers do not see while the list of engines is not readable. */
  @Test
  void asksWhenALoadShouldBeCompleteAndTellsThePeers() {
    oneEngine(M1);
    world.peerDigest("node-2", true, 0);
    world.advance(1_000);
    world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
    world.call("/m/x", Optional.of(M2), 10_000);
    EngineOrder order = answer(EngineOrderResult.ACCEPTED);
    for (int i = 0; i < 5; i++) {
      world.advance(500);
      world.reduce(new DutyAnswered(world.nowMs(), world.nowMs(), 5, true));
    }
    assertThat(world.take(InspectEngine.class)).isNotEmpty();

    inspected("g1", order.expectedOrders() + 1, false, M1, order.target());

    LoadedModelChanged told =
        new LoadedModelChanged(order.engine(), 1, order.expectedOrders() + 1, order.target(), true);
    assertThat(world.take(SendToPeer.class))
        .contains(new SendToPeer(new InstanceId("node-2"), told));
  }

  /** Makes the instance the holder of engines that have room for one model more. */
  private void enginesWithRoom(EngineEntry... entries) {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(entries);
    becomeHolder();
    for (EngineEntry entry : entries) {
      inspected(entry.id().value(), entry.ordersAccepted(), false, M1);
    }
  }

  /**
   * Guards against a load from the weight store that takes five times as long as one from the copy
   * that another engine keeps of the weights.
   */
  @Test
  void choosesTheEngineWithACopyOfTheWeights() {
    EngineEntry second = GatewayWorld.entry("g2", "llm", 1, 0, M1);
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(GatewayWorld.entry("g1", "llm", 1, 0, M1), GatewayWorld.withCopies(second, "m2"));
    inspected("g1", 0, false, M1);
    inspected("g2", 0, false, M1);
    EngineSpec spec =
        world.gateway().table().orElseThrow().services().get("llm").engine().orElseThrow();

    Supply supply = Supply.of(world.node(), "llm", spec, true);

    assertThat(supply.roomFor(spec.models().get("m2")).orElseThrow().entry().id())
        .isEqualTo(new BackendId("g2"));
  }

  /** Guards against a load from a copy that waits for the rate of the weight store. */
  @Test
  void ordersALoadFromACopyWithoutALoadOfTheStore() {
    EngineEntry entry = GatewayWorld.entry("g1", "llm", 1, 0, M1);
    enginesWithRoom(GatewayWorld.withCopies(entry, "m2", "m3"));

    EngineOrder order = answer(EngineOrderResult.ACCEPTED);

    assertThat(order.source()).isEqualTo(EngineOrder.Source.COPY);
    assertThat(world.gateway().placement().loadTokens()).isEqualTo(3);
  }

  /**
   * Guards against a load from the weight store that is not counted, because the copy was displaced
   * by the load before and the list of engines does not show it yet.
   */
  @Test
  void doesNotTrustAnEntryFromBeforeTheLastLoad() {
    EngineEntry entry =
        GatewayWorld.withCopies(GatewayWorld.entry("g1", "llm", 1, 0, M1), "m2", "m3");
    enginesWithRoom(entry);
    world.call("/m/x", Optional.of(M2), 10_000);
    EngineOrder first = answer(EngineOrderResult.ACCEPTED);
    inspected("g1", 1, false, M1, M2);

    OrderSlot slot = world.gateway().placement().slot(first.engine());

    assertThat(slot.knowsCopy(entry, "m3")).isFalse();
    assertThat(
            slot.knowsCopy(
                GatewayWorld.withCopies(GatewayWorld.entry("g1", "llm", 1, 1, M1, M2), "m3"), "m3"))
        .isTrue();
  }

  /** Guards against replicas of busy models that make way for idle ones before the first call. */
  @Test
  void keepsReplicasUntilTheDemandIsKnown() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(
        GatewayWorld.entry("g1", "llm", 1, 0, M1, M2),
        GatewayWorld.entry("g2", "llm", 1, 0, M1, M2));
    becomeHolder();
    inspected("g1", 0, false, M1, M2);
    inspected("g2", 0, false, M1, M2);

    world.advance(2_000);

    assertThat(world.take(SendEngineOrder.class)).isEmpty();
  }

  /** Guards against a busy model that counts as little asked for in the first second of traffic. */
  @Test
  void estimatesTheRateFromTheFirstCallsOn() {
    Placement placement = Placement.EMPTY;
    for (int tick = 1; tick <= 2; tick++) {
      placement =
          placement.faded(250, tick * 250).withArrivals(HashTreePMap.singleton(M1, 20), tick * 250);
    }

    assertThat(placement.perS(M1, 500)).isWithin(15).of(80);
  }

  /** Guards against demand that moves faster than replicas, when each plan adds only one. */
  @Test
  void preparesSeveralReplicasInOnePlan() {
    world.routes(1, GatewayWorld.modelRoute("/m/"));
    world.engines(
        GatewayWorld.entry("g0", "llm", 1, 0, M1, M2),
        GatewayWorld.entry("g1", "llm", 1, 0, M1, M3),
        GatewayWorld.entry("g2", "llm", 1, 0, M1, M3),
        GatewayWorld.entry("g3", "llm", 1, 0, M1, M3));
    becomeHolder();
    inspected("g0", 0, false, M1, M2);
    for (String engine : List.of("g1", "g2", "g3")) {
      inspected(engine, 0, false, M1, M3);
    }
    for (int i = 0; i < 8; i++) {
      world.call("/m/x", Optional.of(M2), 10_000);
    }
    world.take(SendEngineOrder.class);

    world.advance(GatewayTick.INTERVAL_MS);

    assertThat(world.take(SendEngineOrder.class).size()).isAtLeast(2);
  }
}
