package org.limpetdoor.core.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.agreed.LimitEpoch;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.limits.LimitEvents;
import org.limpetdoor.core.membership.ListedInstance;

/**
 * Guards against instances that together exceed the limits of a contract. The faults are starts,
 * stops, pauses, outages of the log and a lagging instance list.
 */
class LimitPropertyTest {
  private static final int SEEDS = 200;
  private static final int NODES = 5;
  private static final long FAULTS_UNTIL_MS = 400_000;
  private static final long RECOVERY_UNTIL_MS = 520_000;
  private static final int MAX_LIST_LAG_MS = 10_000;
  private static final double ROUNDING = 1e-9;

  private Simulation simulation;
  private long steps;
  private int started;
  private int pauses;
  private int outages;
  private long epochs;

  @Test
  void sharesInUseNeverExceedTheContract() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        run(seed);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + "\n" + simulation.trace(), e);
      }
    }
    System.out.printf(
        "interleavings=%d steps=%d epochs=%d starts=%d pauses=%d outages=%d%n",
        SEEDS, steps, epochs, started, pauses, outages);
    assertThat(epochs).isGreaterThan(SEEDS * 5L);
  }

  private void run(long seed) {
    simulation = new Simulation(seed, List.of());
    start(0);
    simulation.at(0, this::publishInstanceList);
    simulation.at(1_000, this::injectFault);
    while (simulation.step(FAULTS_UNTIL_MS)) {
      checkTotalShare();
    }
    simulation.faulty = false;
    if (simulation.nodes.stream().allMatch(node -> node.crashed)) {
      start(0);
    }
    while (simulation.step(RECOVERY_UNTIL_MS)) {
      checkTotalShare();
    }
    checkEqualShares();
    epochs += simulation.log.epochs;
  }

  private void checkTotalShare() {
    steps++;
    double sum = 0;
    for (SimulatedNode node : simulation.nodes) {
      sum += usableShare(node);
    }
    assertWithMessage("sum at %s", simulation.nowMs()).that(sum).isAtMost(1 + ROUNDING);
  }

  /** Returns the share that would apply to a request that arrives now. */
  private double usableShare(SimulatedNode node) {
    if (!node.running()) {
      return 0;
    }
    var now = node.state.withNowMs(node.localMs(simulation.nowMs()));
    return LimitEvents.refresh(now).requests().limitShare().otherwise();
  }

  /** Checks that after the faults the live instances use the whole contract in equal shares. */
  private void checkEqualShares() {
    LimitEpoch epoch = simulation.log.head().limitEpoch();
    List<SimulatedNode> live = simulation.nodes.stream().filter(node -> !node.crashed).toList();
    assertThat(epoch.members())
        .containsExactlyElementsIn(live.stream().map(node -> node.id).toList());
    for (SimulatedNode node : live) {
      assertWithMessage("%s", node.id)
          .that(usableShare(node))
          .isWithin(ROUNDING)
          .of(1.0 / live.size());
    }
  }

  /** Delivers the instance list to each instance with a delay of up to {@link #MAX_LIST_LAG_MS}. */
  private void publishInstanceList() {
    simulation.at(simulation.nowMs() + 1_000, this::publishInstanceList);
    List<ListedInstance> entries = new ArrayList<>();
    for (SimulatedNode node : simulation.nodes) {
      if (!node.crashed) {
        ZoneId zone = new ZoneId("zone-0");
        entries.add(new ListedInstance(node.id, "127.0.0.1:1", zone, "region", false));
      }
    }
    for (SimulatedNode node : simulation.nodes) {
      long deliveredAtMs = simulation.nowMs() + simulation.random.nextInt(MAX_LIST_LAG_MS);
      simulation.at(deliveredAtMs, () -> node.deliver(t -> new InstancesListed(t, entries)));
    }
  }

  private void injectFault() {
    if (simulation.nowMs() >= FAULTS_UNTIL_MS) {
      return;
    }
    simulation.at(simulation.nowMs() + simulation.random.nextInt(15_000), this::injectFault);
    switch (simulation.random.nextInt(5)) {
      case 0:
        simulation.log.downUntilMs = simulation.nowMs() + simulation.random.nextInt(60_000);
        simulation.recordTrace("log down until " + simulation.log.downUntilMs);
        outages++;
        break;
      case 1:
        startOrStop(simulation.random.nextInt(NODES));
        break;
      case 2:
        startOrStop(simulation.random.nextInt(NODES));
        break;
      default:
        SimulatedNode node =
            simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
        node.pausedUntilMs = simulation.nowMs() + simulation.random.nextInt(90_000);
        simulation.recordTrace("pause " + node.id + " until " + node.pausedUntilMs);
        pauses++;
        break;
    }
  }

  private void startOrStop(int number) {
    InstanceId id = new InstanceId("instance-" + number);
    for (SimulatedNode node : simulation.nodes) {
      if (node.id.equals(id) && !node.crashed) {
        node.crashed = true;
        simulation.recordTrace("stop " + id);
        return;
      }
    }
    start(number);
  }

  private void start(int number) {
    simulation.recordTrace("start instance-" + number);
    simulation.startNode(new InstanceId("instance-" + number), ++started);
  }
}
