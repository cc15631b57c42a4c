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
  private static final long CALM_UNTIL_MS = 520_000;
  private static final int MAX_LIST_LAG_MS = 10_000;
  private static final double ROUNDING = 1e-9;

  private Simulation world;
  private long steps;
  private int started;
  private int pauses;
  private int outages;
  private long epochs;

  @Test
  void partsInUseNeverExceedTheContract() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        run(seed);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + "\n" + world.trace(), e);
      }
    }
    System.out.printf(
        "interleavings=%d steps=%d epochs=%d starts=%d pauses=%d outages=%d%n",
        SEEDS, steps, epochs, started, pauses, outages);
    assertThat(epochs).isGreaterThan(SEEDS * 5L);
  }

  private void run(long seed) {
    world = new Simulation(seed, List.of());
    start(0);
    world.at(0, this::list);
    world.at(1_000, this::disturb);
    while (world.step(FAULTS_UNTIL_MS)) {
      checkSum();
    }
    world.faulty = false;
    if (world.nodes.stream().allMatch(node -> node.crashed)) {
      start(0);
    }
    while (world.step(CALM_UNTIL_MS)) {
      checkSum();
    }
    checkEqualParts();
    epochs += world.log.epochs;
  }

  private void checkSum() {
    steps++;
    double sum = 0;
    for (SimulatedNode node : world.nodes) {
      sum += usable(node);
    }
    assertWithMessage("sum at %s", world.nowMs()).that(sum).isAtMost(1 + ROUNDING);
  }

  /** Returns the share that would apply to a request that arrives now. */
  private double usable(SimulatedNode node) {
    if (!node.running()) {
      return 0;
    }
    var now = node.state.withNowMs(node.localMs(world.nowMs()));
    return LimitEvents.refresh(now).requests().limitShare().otherwise();
  }

  /** Checks that after the faults the live instances use the whole contract in equal shares. */
  private void checkEqualParts() {
    LimitEpoch epoch = world.log.head().limitEpoch();
    List<SimulatedNode> live = world.nodes.stream().filter(node -> !node.crashed).toList();
    assertThat(epoch.members())
        .containsExactlyElementsIn(live.stream().map(node -> node.id).toList());
    for (SimulatedNode node : live) {
      assertWithMessage("%s", node.id).that(usable(node)).isWithin(ROUNDING).of(1.0 / live.size());
    }
  }

  /** Delivers the instance list to each instance with a delay of up to {@link #MAX_LIST_LAG_MS}. */
  private void list() {
    world.at(world.nowMs() + 1_000, this::list);
    List<ListedInstance> entries = new ArrayList<>();
    for (SimulatedNode node : world.nodes) {
      if (!node.crashed) {
        ZoneId zone = new ZoneId("zone-0");
        entries.add(new ListedInstance(node.id, "127.0.0.1:1", zone, "region", false));
      }
    }
    for (SimulatedNode node : world.nodes) {
      long seenMs = world.nowMs() + world.random.nextInt(MAX_LIST_LAG_MS);
      world.at(seenMs, () -> node.deliver(t -> new InstancesListed(t, entries)));
    }
  }

  private void disturb() {
    if (world.nowMs() >= FAULTS_UNTIL_MS) {
      return;
    }
    world.at(world.nowMs() + world.random.nextInt(15_000), this::disturb);
    switch (world.random.nextInt(5)) {
      case 0:
        world.log.downUntilMs = world.nowMs() + world.random.nextInt(60_000);
        world.note("log down until " + world.log.downUntilMs);
        outages++;
        break;
      case 1:
        toggle(world.random.nextInt(NODES));
        break;
      case 2:
        toggle(world.random.nextInt(NODES));
        break;
      default:
        SimulatedNode node = world.nodes.get(world.random.nextInt(world.nodes.size()));
        node.pausedUntilMs = world.nowMs() + world.random.nextInt(90_000);
        world.note("pause " + node.id + " until " + node.pausedUntilMs);
        pauses++;
        break;
    }
  }

  private void toggle(int number) {
    InstanceId id = new InstanceId("instance-" + number);
    for (SimulatedNode node : world.nodes) {
      if (node.id.equals(id) && !node.crashed) {
        node.crashed = true;
        world.note("stop " + id);
        return;
      }
    }
    start(number);
  }

  private void start(int number) {
    world.note("start instance-" + number);
    world.startNode(new InstanceId("instance-" + number), ++started);
  }
}
