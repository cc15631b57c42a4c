package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.AdoptStoreEra;
import org.limpetdoor.core.effect.ReleaseDuty;
import org.limpetdoor.core.effect.RequestDuty;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.StoreContactChanged;
import org.limpetdoor.core.event.StoreEraObserved;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.FactsRequested;
import org.pcollections.HashTreePSet;

/** Tests what an instance believes after the store was restored from a copy. */
class EraEventsTest {
  private static final ModelKey M1 = ModelKey.of("m1");

  private final GatewayFixture fixture = new GatewayFixture();

  private static ListedInstance instance(String id) {
    return new ListedInstance(new InstanceId(id), "10.0.1.1:1", new ZoneId("zone-a"), "r", false);
  }

  private void observe(long era) {
    fixture.reduce(new StoreEraObserved(fixture.nowMs(), era));
  }

  /** Delivers the complete list of an era. */
  private void list(long era, long toOffset, EngineEntry... entries) {
    EngineListing listing = new EngineListing(era, 0, toOffset, List.of(entries), List.of(), true);
    fixture.reduce(new EnginesRead(fixture.nowMs(), listing));
  }

  private boolean isListed(String engine) {
    return fixture.gateway().engines().find(new BackendId(engine)).isPresent();
  }

  private boolean isMember(String id) {
    return fixture.node().membership().members().containsKey(new InstanceId(id));
  }

  private void answerDuty(long era, long generation) {
    fixture.reduce(new DutyAnswered(fixture.nowMs(), fixture.nowMs(), era, generation, true));
  }

  /** Guards against a list that is ignored until the log has grown past its old end. */
  @Test
  void appliesTheListOfALaterEraAtALowerOffset() {
    list(0, 500, GatewayFixture.plain("e1"));

    list(1, 20, GatewayFixture.plain("e1"), GatewayFixture.plain("e2"));

    assertThat(isListed("e2")).isTrue();
    assertThat(fixture.gateway().store().listPosition()).isEqualTo(new StorePosition(1, 20));
  }

  /** Guards against late answers after two changes in a row. */
  @Test
  void ignoresListsOfEarlierErasAfterTwoChanges() {
    list(0, 500, GatewayFixture.plain("e1"));
    observe(1);
    observe(2);
    list(2, 20, GatewayFixture.plain("e1"));
    fixture.advance(GatewayFixture.SETTINGS.relistMs());

    list(1, 600, GatewayFixture.plain("e2"));

    assertThat(isListed("e1")).isTrue();
    assertThat(isListed("e2")).isFalse();
  }

  /** Guards against calls refused for want of engines that still have to be listed again. */
  @Test
  void keepsMissingEnginesUntilTheyHadTimeToBeListedAgain() {
    list(0, 500, GatewayFixture.plain("e1"));
    fixture.advance(60_000);
    list(1, 20);

    fixture.advance(2_000);
    assertThat(isListed("e1")).isTrue();

    fixture.advance(600);
    assertThat(isListed("e1")).isFalse();
  }

  /** Guards against engines that a spoke keeps for good because its hub still knows them. */
  @Test
  void namesMissingEnginesAsRemovedToPeers() {
    list(0, 500, GatewayFixture.plain("e1"));
    list(1, 600);
    fixture.peerDigest("node-2", true, 0);
    fixture.take(SendToPeer.class);

    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(),
            new InstanceId("node-2"),
            new FactsRequested(-1, StorePosition.NONE, false)));

    EngineListing sent =
        fixture.take(SendToPeer.class).stream()
            .map(SendToPeer::message)
            .filter(EnginesPassedOn.class::isInstance)
            .map(message -> ((EnginesPassedOn) message).list())
            .findFirst()
            .orElseThrow();
    assertThat(sent.era()).isEqualTo(1);
    assertThat(sent.removed()).containsExactly(new BackendId("e1"));
  }

  /** Guards against calls to a leaving engine whose entry in the copy is older. */
  @Test
  void anEngineThatDrainsStaysDrainingInAnOlderEntry() {
    list(0, 500, GatewayFixture.plain("e1").withDraining());

    list(1, 600, GatewayFixture.plain("e1"));

    assertThat(fixture.gateway().engines().find(new BackendId("e1")).orElseThrow().usable())
        .isFalse();
  }

  /** Guards against a configuration of the copy that replaces the one in force. */
  @Test
  void neverObeysAnOlderConfigurationOfALaterEra() {
    fixture.routes(7, GatewayFixture.route("/a/", CallKind.IDEMPOTENT, 1));
    observe(1);

    fixture.routes(6, GatewayFixture.route("/b/", CallKind.IDEMPOTENT, 1));

    assertThat(fixture.gateway().version()).isEqualTo(7);
    assertThat(fixture.gateway().storeEra()).isEqualTo(1);
  }

  /** Guards against an instance that no other one finds, because its entry is gone. */
  @Test
  void adoptsEachLaterEraOnce() {
    observe(1);
    observe(1);
    observe(3);
    observe(2);

    assertThat(fixture.take(AdoptStoreEra.class))
        .containsExactly(new AdoptStoreEra(1), new AdoptStoreEra(3))
        .inOrder();
  }

  /** Guards against a spoke that never reads the store and so never writes its entry again. */
  @Test
  void learnsOfAnEraFromTheHolderOfTheDuty() {
    fixture.peerDigest("node-2", true, new DutyTerm(1, 4).fencingNumber(0));

    assertThat(fixture.take(AdoptStoreEra.class)).containsExactly(new AdoptStoreEra(1));
  }

  /** Guards against peers that drop each other while their entries are missing. */
  @Test
  void keepsMembersThatAListLacksAfterAChange() {
    fixture.reduce(
        new InstancesListed(
            fixture.nowMs(), List.of(instance("node-1"), instance("node-2"), instance("node-3"))));
    observe(1);
    fixture.reduce(new InstancesListed(fixture.nowMs(), List.of(instance("node-1"))));

    assertThat(isMember("node-2")).isTrue();
    assertThat(isMember("node-3")).isTrue();

    fixture.advance(GatewayFixture.SETTINGS.relistMs());
    fixture.peerDigest("node-2", true, 0);
    fixture.reduce(new InstancesListed(fixture.nowMs(), List.of(instance("node-1"))));

    assertThat(isMember("node-2")).isTrue();
    assertThat(isMember("node-3")).isFalse();
  }

  /** Guards against a duty that two instances hold: the later store may grant it to another one. */
  @Test
  void releasesADutyThatAnEarlierEraGranted() {
    answerDuty(0, 900);
    fixture.take(RequestDuty.class);
    observe(1);

    assertThat(fixture.gateway().holdsDuty()).isFalse();

    fixture.advance(GatewayTick.INTERVAL_MS);
    assertThat(fixture.take(RequestDuty.class).get(0).generation()).isEqualTo(0);
  }

  /** Guards against a handover by a holder that has not noticed the change. */
  @Test
  void refusesAHandoverOfAnEarlierEra() {
    fixture.peerDigest("node-2", false, 0);
    observe(1);
    fixture.reduce(new StoreContactChanged(fixture.nowMs(), false));

    fixture.reduce(
        new PeerMessageReceived(
            fixture.nowMs(),
            new InstanceId("node-2"),
            new DutyHandedOver(new DutyTerm(0, 900).fencingNumber(1))));

    assertThat(fixture.gateway().holdsDuty()).isFalse();
  }

  /** Guards against leaving the group of the later era because an earlier order was refused. */
  @Test
  void aRefusedOrderOfAnEarlierEraDoesNotReleaseTheDuty() {
    fixture.routes(1, GatewayFixture.modelRoute("/m/"));
    list(0, 500, GatewayFixture.entry("g1", "llm", 1, 3, M1));
    answerDuty(0, 5);
    EngineInventory inventory =
        new EngineInventory(1, 3, false, HashTreePSet.singleton(M1), HashTreePSet.empty());
    fixture.reduce(
        new EngineInspected(fixture.nowMs(), new BackendId("g1"), Optional.of(inventory)));
    fixture.call("/m/x", Optional.of(ModelKey.of("m1", "a1")), 10_000);
    EngineOrder order = fixture.take(SendEngineOrder.class).get(0).order();
    observe(1);

    fixture.reduce(
        new EngineOrderEnded(
            fixture.nowMs(), order.engine(), order.number(), EngineOrderResult.FENCED));

    assertThat(fixture.take(ReleaseDuty.class)).isEmpty();
  }

  /** Guards against a started process that takes the first era it sees for a later one. */
  @Test
  void aStartedProcessBeginsWithTheEraThatItSees() {
    list(3, 20, GatewayFixture.plain("e1"));
    answerDuty(3, 2);

    assertThat(isListed("e1")).isTrue();
    assertThat(fixture.gateway().duty().fencingNumber())
        .isEqualTo(new DutyTerm(3, 2).fencingNumber(0));
    assertThat(DutyTerm.of(fixture.gateway().duty().fencingNumber()).era()).isEqualTo(3);
  }
}
