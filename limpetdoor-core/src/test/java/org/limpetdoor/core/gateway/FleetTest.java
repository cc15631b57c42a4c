package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.FleetLayout;

/** Tests the exchange of load and facts in fleets of different sizes, on virtual time. */
class FleetTest {
  private static final long SETTLE_MS = 4_000;

  /** Half of the time within which a leaving engine must be seen, with these settings. */
  private static final long FACTS_BOUND_MS = 2_000;

  private static void assertSumsAreComplete(FleetSimulation fleet) {
    int calls =
        fleet.liveIds().stream()
            .mapToInt(id -> fleet.engineIds().stream().mapToInt(e -> fleet.ownCalls(id, e)).sum())
            .sum();
    assertThat(calls).isAtLeast(fleet.liveIds().size());
    for (InstanceId id : fleet.liveIds()) {
      for (BackendId engine : fleet.engineIds()) {
        int others =
            fleet.liveIds().stream()
                .filter(other -> !other.equals(id))
                .mapToInt(other -> fleet.ownCalls(other, engine))
                .sum();
        assertWithMessage("calls of others at %s as known to %s", engine, id)
            .that(fleet.state(id).gateway().peers().inFlight(engine))
            .isEqualTo(others);
      }
    }
  }

  private static void assertAllKnowVersion(FleetSimulation fleet, long version) {
    for (InstanceId id : fleet.liveIds()) {
      assertWithMessage("version at %s", id)
          .that(fleet.state(id).gateway().version())
          .isEqualTo(version);
    }
  }

  private static void assertAllSeeEngineDrain(FleetSimulation fleet, int engine) {
    for (InstanceId id : fleet.liveIds()) {
      EngineState state =
          fleet.state(id).gateway().engines().find(fleet.engineIds().get(engine)).orElseThrow();
      assertWithMessage("engine %s at %s is usable", engine, id).that(state.usable()).isFalse();
    }
  }

  private static void spreadCalls(FleetSimulation fleet) {
    long number = 1;
    for (InstanceId id : fleet.liveIds()) {
      fleet.call(id, number++);
    }
  }

  /** Guards against load that is counted twice or not at all. */
  @Test
  void eachInstanceKnowsTheLoadOfAllOthersOnce() {
    for (int size : List.of(1, 6, 16, 17, 40, 95)) {
      FleetSimulation fleet = new FleetSimulation(size, 5, size);
      fleet.advance(SETTLE_MS);
      spreadCalls(fleet);
      fleet.advance(SETTLE_MS);

      assertSumsAreComplete(fleet);
    }
  }

  /** Guards against demand that a hub counts twice, or that is lost between two digests. */
  @Test
  void everyHubKnowsTheDemandOfAllInstances() {
    FleetSimulation fleet = new FleetSimulation(40, 4, 9);
    fleet.advance(SETTLE_MS);
    long number = 1;
    for (InstanceId id : fleet.liveIds()) {
      fleet.call(id, number++, GatewayFixture.SMALL);
    }
    fleet.advance(SETTLE_MS);

    for (InstanceId hub : fleet.hubs()) {
      assertWithMessage("calls of others that were reported to %s", hub)
          .that(fleet.reportedCalls(hub))
          .isEqualTo(fleet.liveIds().size() - 1);
    }
  }

  /** Guards against an exchange whose messages grow with the square of the fleet. */
  @Test
  void theMessagesOfAnInstanceDoNotGrowWithTheFleet() {
    long perInstanceAt95 = messagesPerInstanceAndSecond(95);
    long perInstanceAt300 = messagesPerInstanceAndSecond(300);

    assertThat(perInstanceAt95).isAtMost(16);
    assertThat(perInstanceAt300).isAtMost(2 * perInstanceAt95);
  }

  private static long messagesPerInstanceAndSecond(int size) {
    FleetSimulation fleet = new FleetSimulation(size, 6, 1);
    fleet.advance(SETTLE_MS);
    fleet.takePeerMessages();
    fleet.advance(2_000);
    return fleet.takePeerMessages() / 2 / size;
  }

  /** Guards against calls to the store that grow with the number of instances. */
  @Test
  void onlyHubsReadTheStoreWhileTheyHaveRecentFacts() {
    FleetSimulation fleet = new FleetSimulation(95, 5, 3);
    fleet.advance(SETTLE_MS);

    assertThat(fleet.hubs()).hasSize(10);
    for (InstanceId id : fleet.ids()) {
      assertThat(fleet.followsStore(id)).isEqualTo(fleet.hubs().contains(id));
    }
    for (InstanceId spoke : fleet.ids()) {
      boolean hub = fleet.hubs().contains(spoke);
      assertThat(fleet.links(spoke)).isAtMost(hub ? 30 : 1);
    }
  }

  /** Guards against a small machine that carries the messages of a zone. */
  @Test
  void theLargestMachinesOfAZoneBecomeHubs() {
    FleetSimulation fleet = new FleetSimulation(60, 3, 4);
    fleet.advance(SETTLE_MS);

    for (InstanceId hub : fleet.hubs()) {
      assertThat(Integer.parseInt(hub.value().substring(1)) % 5).isEqualTo(0);
    }
  }

  /** Guards against a configuration or a leaving engine that does not reach a spoke in time. */
  @Test
  void changesReachAllInstancesInTime() {
    FleetSimulation fleet = new FleetSimulation(95, 5, 5);
    fleet.advance(SETTLE_MS);

    fleet.publish(2);
    fleet.drainEngine(3);
    fleet.advance(FACTS_BOUND_MS);

    assertAllKnowVersion(fleet, 2);
    assertAllSeeEngineDrain(fleet, 3);
  }

  /** Guards against spokes that stay without load and facts after their hub was lost. */
  @Test
  void theLossOfHubsTwiceInARowLeavesNoInstanceAlone() {
    FleetSimulation fleet = new FleetSimulation(95, 5, 6);
    fleet.advance(SETTLE_MS);
    spreadCalls(fleet);
    for (int round = 0; round < 2; round++) {
      fleet.hubs().forEach(fleet::kill);
      fleet.advance(2_000);
      fleet.publish(2 + round);
      fleet.drainEngine(round);
      fleet.advance(FACTS_BOUND_MS);

      assertAllKnowVersion(fleet, 2 + round);
      assertAllSeeEngineDrain(fleet, round);
    }
    fleet.advance(SETTLE_MS);

    assertSumsAreComplete(fleet);
  }

  /** Guards against a hub that is paused while its spokes rely on its reads. */
  @Test
  void aFrozenHubIsReplacedInTime() {
    FleetSimulation fleet = new FleetSimulation(95, 5, 7);
    fleet.advance(SETTLE_MS);
    List<InstanceId> frozen = fleet.hubs();
    frozen.forEach(hub -> fleet.freeze(hub, true));

    fleet.advance(2_000);
    fleet.publish(2);
    fleet.drainEngine(1);
    fleet.advance(FACTS_BOUND_MS);
    for (InstanceId id : fleet.liveIds()) {
      if (!frozen.contains(id)) {
        assertThat(fleet.state(id).gateway().version()).isEqualTo(2);
      }
    }
    frozen.forEach(hub -> fleet.freeze(hub, false));
    fleet.advance(SETTLE_MS);

    assertAllKnowVersion(fleet, 2);
    assertAllSeeEngineDrain(fleet, 1);
    spreadCalls(fleet);
    fleet.advance(SETTLE_MS);
    assertSumsAreComplete(fleet);
  }

  /** Guards against a zone that stays behind because the store does not answer its hubs. */
  @Test
  void hubsThatTheStoreDoesNotAnswerTakeTheFactsOfOthers() {
    FleetSimulation fleet = new FleetSimulation(95, 5, 8);
    fleet.advance(SETTLE_MS);
    for (InstanceId hub : fleet.hubs()) {
      if (!hub.equals(fleet.hubs().get(0))) {
        fleet.cutFromStore(hub, true);
      }
    }

    fleet.publish(2);
    fleet.drainEngine(2);
    fleet.advance(2 * FACTS_BOUND_MS);

    assertAllKnowVersion(fleet, 2);
    assertAllSeeEngineDrain(fleet, 2);
  }

  /**
   * Guards against engines that are kept because the store does not answer a hub, although other
   * hubs have read that their entries were removed.
   */
  @Test
  void aHubThatTheStoreDoesNotAnswerDropsEnginesThatAreGone() {
    FleetSimulation fleet = new FleetSimulation(62, 3, 10);
    fleet.advance(SETTLE_MS);
    fleet.cutFromStore(fleet.hubs().get(0), true);
    fleet.advance(2_000);
    BackendId gone = fleet.engineIds().get(4);

    fleet.removeEngine(4);
    fleet.advance(2 * FACTS_BOUND_MS);

    for (InstanceId id : fleet.liveIds()) {
      assertWithMessage("engine at %s", id)
          .that(fleet.state(id).gateway().engines().find(gone).isPresent())
          .isFalse();
    }
  }

  /** Guards against states that only a sequence of faults leads to. */
  @Test
  void randomFaultsLeaveACompleteExchange() {
    for (long seed = 1; seed <= 20; seed++) {
      FleetSimulation fleet = new FleetSimulation(40, 4, seed);
      fleet.advance(SETTLE_MS);
      long version = 1;
      for (int step = 0; step < 8; step++) {
        InstanceId victim = fleet.any(fleet.liveIds());
        if (step % 4 == 3) {
          fleet.kill(victim);
        } else if (step % 4 == 2) {
          fleet.freeze(victim, true);
          fleet.advance(1_500);
          fleet.freeze(victim, false);
        } else {
          fleet.cutFromStore(victim, step % 2 == 0);
        }
        fleet.publish(++version);
        fleet.advance(700);
      }
      fleet.liveIds().forEach(id -> fleet.cutFromStore(id, false));
      spreadCalls(fleet);
      fleet.advance(10_000);

      assertAllKnowVersion(fleet, version);
      assertSumsAreComplete(fleet);
      assertThat(fleet.hubs().size()).isAtMost(FleetLayout.FULL_MESH_MAX_INSTANCES);
    }
  }

  /**
   * Guards against a fleet that loses instances, or engines before {@code relistMs} have passed,
   * when the store is restored from a copy, twice in a row and with hubs that it does not answer.
   */
  @Test
  void aRestoredStoreLosesNoInstanceAndNoEngineThatIsListedAgain() {
    FleetSimulation fleet = new FleetSimulation(62, 3, 12);
    fleet.advance(SETTLE_MS);
    List<BackendId> engines = fleet.engineIds();
    fleet.cutFromStore(fleet.hubs().get(0), true);

    fleet.restoreStore(3);
    fleet.advance(800);
    fleet.restoreStore(2);
    for (int i = 0; i < 15; i++) {
      fleet.advance(100);
      assertAllKnow(fleet, engines);
    }
    fleet.listAgain(engines.subList(0, 4));
    fleet.advance(SETTLE_MS);

    for (InstanceId id : fleet.liveIds()) {
      GatewayState state = fleet.state(id).gateway();
      assertWithMessage("era at %s", id).that(state.storeEra()).isEqualTo(2);
      for (BackendId engine : engines) {
        boolean relisted = !engine.equals(engines.get(4));
        assertWithMessage("%s at %s is listed", engine, id)
            .that(state.engines().find(engine).isPresent())
            .isEqualTo(relisted);
      }
    }
  }

  private static void assertAllKnow(FleetSimulation fleet, List<BackendId> engines) {
    for (InstanceId id : fleet.liveIds()) {
      assertWithMessage("members at %s", id)
          .that(fleet.state(id).membership().members())
          .hasSize(fleet.liveIds().size());
      assertWithMessage("engines at %s", id)
          .that(fleet.state(id).gateway().engines().byId().keySet())
          .containsAtLeastElementsIn(engines);
    }
  }
}
