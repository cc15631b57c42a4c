package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.effect.FollowStore;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.EnginesRead;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.StoreEraObserved;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.FactsRequested;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;

/** Tests single steps of the passing on of facts; {@link FleetTest} tests whole fleets. */
class FactsEventsTest {
  private static final BackendId ENGINE = new BackendId("e1");

  private final GatewayFixture fixture = new GatewayFixture();

  private static LoadDigest digest(
      DigestScope scope, DigestTimes times, StoreFacts facts, int calls) {
    return new LoadDigest(
        scope,
        times,
        facts,
        0,
        HashTreePMap.singleton(ENGINE, calls),
        HashTreePMap.empty(),
        HashTreePSet.empty(),
        HashTreePMap.empty(),
        UseReport.NONE,
        List.of());
  }

  private void receive(InstanceId peer, PeerMessage message) {
    fixture.reduce(new PeerMessageReceived(fixture.nowMs(), peer, message));
  }

  /** Makes the instance one of 40 in its zone, of which the others have larger machines. */
  private InstanceId becomeSpoke() {
    fixture.routes(1, GatewayFixture.route("/safe/", CallKind.IDEMPOTENT, 2));
    fixture.engines(GatewayFixture.plain("e1"));
    List<ListedInstance> fleet = new ArrayList<>();
    for (int i = 1; i <= 40; i++) {
      fleet.add(
          new ListedInstance(
              new InstanceId("node-" + i),
              "10.0.1." + i + ":1",
              new ZoneId("zone-a"),
              "r",
              false,
              i == 1 ? 0.1 : 1));
    }
    fixture.reduce(new InstancesListed(fixture.nowMs(), fleet));
    InstanceId hub = fixture.node().membership().layout().preferred().get(0);
    fixture.advance(GatewayTick.INTERVAL_MS);
    fixture.reduce(new PeerLinkUp(fixture.nowMs(), hub));
    fixture.advance(GatewayTick.INTERVAL_MS);
    return hub;
  }

  private StoreFacts factsOfAge(long ageMs) {
    return new StoreFacts(1, fixture.gateway().store().listPosition(), true, ageMs);
  }

  private void receiveFromHub(InstanceId hub, long ageMs) {
    DigestTimes times = new DigestTimes(1, fixture.nowMs());
    receive(hub, digest(DigestScope.FLEET, times, factsOfAge(ageMs), 3));
    fixture.advance(GatewayTick.INTERVAL_MS);
  }

  private <M extends PeerMessage> List<M> sent(Class<M> type) {
    return fixture.take(SendToPeer.class).stream()
        .map(SendToPeer::message)
        .filter(type::isInstance)
        .map(type::cast)
        .toList();
  }

  /** Guards against calls to the store by instances whose hub reads it for them. */
  @Test
  void aSpokeDoesNotReadTheStoreWhileItsHubHasRecentFacts() {
    InstanceId hub = becomeSpoke();

    receiveFromHub(hub, 100);

    assertThat(fixture.gateway().store().followed()).isFalse();
  }

  /** Guards against a spoke that relies on a hub which is cut off from the store. */
  @Test
  void aSpokeReadsTheStoreIfTheFactsOfItsHubAreOld() {
    InstanceId hub = becomeSpoke();
    receiveFromHub(hub, 100);
    fixture.take(FollowStore.class);

    receiveFromHub(hub, GatewayFixture.SETTINGS.factsMaxAgeMs());

    assertThat(fixture.take(FollowStore.class).get(0).started()).isTrue();
  }

  /**
   * Guards against taking a digest for recent because it has just arrived. A hub that was paused
   * sends on what it knew before, and echoes an old time.
   */
  @Test
  void aSpokeReadsTheStoreIfItsHubEchoesAnOldTime() {
    InstanceId hub = becomeSpoke();
    receiveFromHub(hub, 100);
    long echoedAtMs = fixture.nowMs();
    fixture.advance(GatewayFixture.SETTINGS.factsMaxAgeMs());
    receiveFromHub(hub, 0);
    fixture.take(FollowStore.class);

    receive(hub, digest(DigestScope.FLEET, new DigestTimes(9, echoedAtMs), factsOfAge(0), 3));
    fixture.advance(GatewayTick.INTERVAL_MS);

    assertThat(fixture.take(FollowStore.class).get(0).started()).isTrue();
  }

  /** Guards against a spoke that relies on a hub which has not noticed that its facts are gone. */
  @Test
  void aSpokeReadsTheStoreIfItsHubKnowsAnEarlierEra() {
    InstanceId hub = becomeSpoke();
    receiveFromHub(hub, 100);
    fixture.take(FollowStore.class);
    fixture.reduce(new StoreEraObserved(fixture.nowMs(), 1));
    fixture.reduce(
        new EnginesRead(
            fixture.nowMs(),
            new EngineListing(1, 0, 1, List.of(GatewayFixture.plain("e1")), List.of(), true)));

    for (int i = 0; i <= GatewayFixture.SETTINGS.factsMaxAgeMs() / 250; i++) {
      DigestTimes times = new DigestTimes(1, fixture.nowMs());
      StoreFacts earlier = new StoreFacts(1, new StorePosition(0, 1), true, 0);
      receive(hub, digest(DigestScope.FLEET, times, earlier, 3));
      fixture.advance(250);
    }

    assertThat(fixture.take(FollowStore.class).get(0).started()).isTrue();
  }

  /** Guards against a spoke whose list mixes eras because its hub noticed the change first. */
  @Test
  void doesNotContinueAListWithChangesOfALaterEra() {
    InstanceId hub = becomeSpoke();
    fixture.advance(1_000);
    fixture.take(SendToPeer.class);

    receive(
        hub, new EnginesPassedOn(new EngineListing(1, 0, 1, List.of(), List.of(ENGINE), false)));

    assertThat(sent(FactsRequested.class)).hasSize(1);
    assertThat(fixture.gateway().engines().find(ENGINE).orElseThrow().unlistedAtMs())
        .isEqualTo(Timed.NEVER_MS);
  }

  /** Guards against the loss of live engines that a hub read from a copy without their entries. */
  @Test
  void aSpokeKeepsEnginesThatAListOfALaterEraLacks() {
    InstanceId hub = becomeSpoke();

    receive(hub, new EnginesPassedOn(new EngineListing(1, 0, 1, List.of(), List.of(), true)));

    assertThat(fixture.gateway().engines().find(ENGINE)).isPresent();
    fixture.advance(GatewayFixture.SETTINGS.relistMs() + GatewayTick.INTERVAL_MS);
    assertThat(fixture.gateway().engines().find(ENGINE)).isEmpty();
  }

  /** Guards against the complete list of a peer that has not noticed the change. */
  @Test
  void ignoresAListOfAnEarlierEraFromAPeer() {
    InstanceId hub = becomeSpoke();
    fixture.reduce(new StoreEraObserved(fixture.nowMs(), 1));
    fixture.advance(GatewayFixture.SETTINGS.relistMs());

    receive(hub, new EnginesPassedOn(new EngineListing(0, 0, 99, List.of(), List.of(), true)));

    assertThat(fixture.gateway().engines().find(ENGINE)).isPresent();
  }

  /** Guards against changes that are applied although earlier ones were missed. */
  @Test
  void requestsTheCompleteListAfterAGap() {
    InstanceId hub = becomeSpoke();
    fixture.advance(1_000);
    fixture.take(SendToPeer.class);
    long offset = fixture.gateway().store().listPosition().offset();

    receive(
        hub,
        new EnginesPassedOn(
            new EngineListing(0, offset + 1, offset + 2, List.of(), List.of(ENGINE), false)));

    assertThat(sent(FactsRequested.class)).hasSize(1);
    assertThat(fixture.gateway().engines().find(ENGINE)).isPresent();
  }

  /** Guards against a list that goes back because a late message of another hub is applied. */
  @Test
  void ignoresChangesThatItsListContains() {
    InstanceId hub = becomeSpoke();
    // Until then a removed entry may only have been lost in an outage of the store.
    fixture.advance(GatewayFixture.SETTINGS.relistMs());
    long offset = fixture.gateway().store().listPosition().offset();

    receive(
        hub,
        new EnginesPassedOn(new EngineListing(0, 0, offset, List.of(), List.of(ENGINE), false)));

    assertThat(fixture.gateway().engines().find(ENGINE)).isPresent();
  }

  /** Guards against spokes that learn of a leaving engine only with the next digest. */
  @Test
  void aHubPassesChangesOnAtOnce() {
    fixture.engines(GatewayFixture.plain("e1"));
    InstanceId spoke = new InstanceId("node-2");
    fixture.reduce(new PeerLinkUp(fixture.nowMs(), spoke));
    receive(
        spoke,
        digest(
            DigestScope.INSTANCE,
            new DigestTimes(1, 0),
            new StoreFacts(1, new StorePosition(0, 1), false, 0),
            2));
    fixture.take(SendToPeer.class);

    fixture.engines(GatewayFixture.plain("e1").withDraining());

    assertThat(sent(EnginesPassedOn.class).get(0).list().entries().get(0).draining()).isTrue();
  }

  /** Guards against load of a peer that has failed, which would keep engines from getting calls. */
  @Test
  void dropsTheLoadOfAPeerThatSendsNoMoreDigests() {
    fixture.engines(GatewayFixture.plain("e1"));
    InstanceId spoke = new InstanceId("node-2");
    fixture.reduce(new PeerLinkUp(fixture.nowMs(), spoke));
    receive(
        spoke,
        digest(
            DigestScope.INSTANCE,
            new DigestTimes(1, 0),
            new StoreFacts(1, new StorePosition(0, 1), false, 0),
            2));
    assertThat(fixture.gateway().peers().inFlight(ENGINE)).isEqualTo(2);

    fixture.advance(2_000);

    assertThat(fixture.gateway().peers().inFlight(ENGINE)).isEqualTo(0);
  }
}
