package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.DecisionKind;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.pcollections.HashTreePSet;

/** Tests that an engine which states in a response that it is leaving receives nothing more. */
class LeavingEngineTest {
  private static final BackendId E1 = new BackendId("e1");
  private static final ModelKey M1 = ModelKey.of("m1");
  private static final ModelKey M2 = ModelKey.of("m2");
  private static final ModelKey M3 = ModelKey.of("m3");
  private static final EngineNotice LEAVING = new EngineNotice(true, 0);

  /** Number of calls that two idle engines of four slots would share. */
  private static final int CALLS = 6;

  private final GatewayFixture fixture = new GatewayFixture();

  @BeforeEach
  void setUpTwoEngines() {
    fixture.routes(
        1,
        GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 3),
        GatewayFixture.route("/stream/", CallKind.STREAM, 3));
    fixture.engines(GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));
    // Entries that are removed later than this are dropped at once.
    fixture.advance(5_000);
    for (int i = 0; i < 20; i++) {
      long id = fixture.call("/safe/x", Optional.empty(), 1_000);
      fixture.endForward(id, 1, ForwardResult.COMPLETED);
    }
    fixture.take(ForwardCall.class);
  }

  private void stateLeaving(String engine, long startedAtMs) {
    fixture.reduce(
        new EngineNoticeReceived(fixture.nowMs(), new BackendId(engine), startedAtMs, LEAVING));
  }

  private boolean receivesCalls(String engine) {
    fixture.take(ForwardCall.class);
    for (int i = 0; i < CALLS; i++) {
      fixture.call("/safe/x", Optional.empty(), 1_000);
    }
    return fixture.take(ForwardCall.class).stream()
        .anyMatch(sent -> sent.engine().equals(new BackendId(engine)));
  }

  /** Guards against calls to an engine that has stated that it is leaving. */
  @Test
  void sendsNothingToALeavingEngine() {
    stateLeaving("e1", 1);

    assertThat(receivesCalls("e1")).isFalse();
    assertThat(receivesCalls("e2")).isTrue();
  }

  /** Guards against a log without the reason for which an engine receives no more calls. */
  @Test
  void recordsTheFirstStatementOnly() {
    fixture.take(RecordDecision.class);
    stateLeaving("e1", 1);
    stateLeaving("e1", 1);

    List<RecordDecision> decisions = fixture.take(RecordDecision.class);
    assertThat(decisions).hasSize(1);
    assertThat(decisions.get(0).decision().kind()).isEqualTo(DecisionKind.ENGINE);
    assertThat(decisions.get(0).decision().subject()).isEqualTo("e1");
  }

  /**
   * Guards against an entry of the store from before the statement that makes the engine usable.
   */
  @Test
  void anEntryThatSaysReadyDoesNotEndTheLeaving() {
    stateLeaving("e1", 1);

    fixture.engines(GatewayFixture.plain("e1"));
    assertThat(receivesCalls("e1")).isFalse();

    fixture.engineList(
        List.of(GatewayFixture.plain("e1"), GatewayFixture.plain("e2")), List.of(), true);
    assertThat(receivesCalls("e1")).isFalse();
  }

  /** Guards against the list of a peer that has not received the statement. */
  @Test
  void aListOfAPeerDoesNotEndTheLeaving() {
    stateLeaving("e1", 1);

    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(),
            new InstanceId("node-2"),
            new EnginesPassedOn(
                new EngineListing(
                    0,
                    0,
                    99,
                    List.of(GatewayFixture.plain("e1"), GatewayFixture.plain("e2")),
                    List.of(),
                    true))));

    assertThat(receivesCalls("e1")).isFalse();
  }

  /** Guards against an engine that is listed again after its entry has lapsed. */
  @Test
  void anEngineThatIsListedAgainIsStillLeaving() {
    stateLeaving("e1", 1);
    fixture.engineList(List.of(), List.of(E1), false);
    assertThat(fixture.gateway().engines().find(E1)).isEmpty();

    fixture.engines(GatewayFixture.plain("e1"));

    assertThat(receivesCalls("e1")).isFalse();
  }

  /** Guards against a statement that arrives while the entry of the engine has lapsed. */
  @Test
  void aStatementOfAnUnlistedEngineHoldsOnceItIsListed() {
    fixture.engineList(List.of(), List.of(E1), false);
    stateLeaving("e1", 1);

    fixture.engines(GatewayFixture.plain("e1"));

    assertThat(receivesCalls("e1")).isFalse();
  }

  /** Guards against an outage of the store that makes a leaving engine usable. */
  @Test
  void anOutageOfTheStoreDoesNotEndTheLeaving() {
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));
    stateLeaving("e1", 1);
    fixture.advance(5_000);
    assertThat(receivesCalls("e1")).isFalse();

    fixture.reduce(new StoreContactChanged(fixture.nowMs(), true));
    fixture.engineList(List.of(), List.of(E1), false);
    assertThat(receivesCalls("e1")).isFalse();
    fixture.engines(GatewayFixture.plain("e1"));

    assertThat(receivesCalls("e1")).isFalse();
  }

  /** Guards against an engine that stays unused after it has started again. */
  @Test
  void aNewStartOfTheEngineEndsTheLeaving() {
    stateLeaving("e1", 1);

    fixture.engines(GatewayFixture.entry("e1", "plain", 2, 0));

    assertThat(receivesCalls("e1")).isTrue();
  }

  /** Guards against a late response of an earlier start that makes the new one unusable. */
  @Test
  void aStatementOfAnEarlierStartIsIgnored() {
    fixture.engines(GatewayFixture.entry("e1", "plain", 2, 0));

    stateLeaving("e1", 1);

    assertThat(receivesCalls("e1")).isTrue();
  }

  /** Guards against breaking off a stream whose engine is leaving. */
  @Test
  void aStreamGoesOnAndIsResumedElsewhere() {
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);
    BackendId first = fixture.take(ForwardCall.class).get(0).engine();
    stateLeaving(first.value(), 1);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));
    assertThat(fixture.take(CancelForward.class)).isEmpty();

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));

    assertThat(fixture.take(ForwardCall.class).get(0).engine()).isNotEqualTo(first);
  }

  /** Guards against resuming an interrupted stream at another engine that is leaving. */
  @Test
  void aStreamIsNotResumedAtALeavingEngine() {
    long id = fixture.call("/stream/x", Optional.empty(), 2_000);
    fixture.take(ForwardCall.class);
    stateLeaving("e1", 1);
    stateLeaving("e2", 1);
    fixture.reduce(new ForwardStarted(fixture.nowMs(), id, 1));

    fixture.reduce(new ForwardEnded(fixture.nowMs(), id, 1, ForwardResult.CONNECTION_LOST, true));
    fixture.advance(1_500);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against a retry at the engine that turned the call away because it is leaving. */
  @Test
  void aCallThatWasTurnedAwayIsNotRetriedThere() {
    fixture.engineList(List.of(), List.of(new BackendId("e2")), false);
    long id = fixture.call("/safe/x", Optional.empty(), 1_000);
    fixture.take(ForwardCall.class);
    stateLeaving("e1", 1);

    fixture.endForward(id, 1, ForwardResult.BUSY);
    fixture.advance(500);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against a call that waits for the engine while it starts to leave. */
  @Test
  void aWaitingCallIsNotSentToALeavingEngine() {
    fixture.engineList(List.of(), List.of(new BackendId("e2")), false);
    for (int i = 0; i < 8; i++) {
      fixture.call("/safe/x", Optional.empty(), 2_000);
    }
    long first = fixture.take(ForwardCall.class).get(0).call();
    fixture.call("/safe/x", Optional.empty(), 2_000);
    assertThat(fixture.gateway().waitingCalls()).isEqualTo(1);
    stateLeaving("e1", 1);

    fixture.endForward(first, 1, ForwardResult.COMPLETED);
    fixture.advance(900);

    assertThat(fixture.take(ForwardCall.class)).isEmpty();
  }

  /** Guards against counting a leaving engine as a replica, so that its model is soon absent. */
  @Test
  void aLeavingEngineIsNoReplica() {
    fixture.routes(2, GatewayFixture.modelRoute("/m/"));
    fixture.engines(
        GatewayFixture.entry("g1", "llm", 1, 0, M1, M2),
        GatewayFixture.entry("g2", "llm", 1, 0, M2, M3));
    for (int i = 0; i < 9; i++) {
      fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
      fixture.advance(500);
    }
    reportInventory("g1", M1, M2);
    reportInventory("g2", M2, M3);
    fixture.take(SendEngineOrder.class);
    stateLeaving("g1", 1);

    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.call("/m/x", Optional.of(M1), 10_000);
    fixture.advance(300);

    List<SendEngineOrder> orders = fixture.take(SendEngineOrder.class);
    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).order().engine()).isEqualTo(new BackendId("g2"));
  }

  /** Guards against loading a model on an engine that has started to leave after an eviction. */
  @Test
  void aLeavingEngineGetsNoLoadAfterAnEviction() {
    EngineOrder unload = orderEvictionForM1();
    stateLeaving("g1", 1);

    completeUnload(unload);

    assertThat(fixture.take(SendEngineOrder.class)).isEmpty();
  }

  /** Shows that the order that the test above excludes is sent otherwise. */
  @Test
  void anEngineThatStaysGetsTheLoadAfterAnEviction() {
    EngineOrder unload = orderEvictionForM1();

    completeUnload(unload);

    List<SendEngineOrder> orders = fixture.take(SendEngineOrder.class);
    assertThat(orders).hasSize(1);
    assertThat(orders.get(0).order().target()).isEqualTo(M1);
  }

  private EngineOrder orderEvictionForM1() {
    fixture.routes(2, GatewayFixture.modelRoute("/m/"));
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 0, M2, M3));
    for (int i = 0; i < 9; i++) {
      fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
      fixture.advance(500);
    }
    reportInventory("g1", M2, M3);
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.call("/m/x", Optional.of(M1), 10_000);
    fixture.advance(300);
    EngineOrder order = fixture.take(SendEngineOrder.class).get(0).order();
    assertThat(order.action()).isEqualTo(EngineOrder.Action.UNLOAD);
    return order;
  }

  private void completeUnload(EngineOrder unload) {
    fixture.reduce(
        new EngineOrderEnded(
            fixture.nowMs(), unload.engine(), unload.number(), EngineOrderResult.ACCEPTED));
    ModelKey kept = unload.target().equals(M2) ? M3 : M2;
    // The list of engines shows the change even if the engine is no longer inspected.
    fixture.engines(GatewayFixture.entry("g1", "llm", 1, 1, kept));
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), 0, 5, true));
    fixture.advance(500);
  }

  private void reportInventory(String engine, ModelKey... held) {
    EngineInventory inventory =
        new EngineInventory(1, 0, false, HashTreePSet.from(List.of(held)), HashTreePSet.empty());
    fixture.reduce(
        new EngineInspected(fixture.nowMs(), new BackendId(engine), Optional.of(inventory)));
  }
}
