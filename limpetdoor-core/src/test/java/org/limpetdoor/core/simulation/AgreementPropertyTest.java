package org.limpetdoor.core.simulation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.EngineAccount;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.Fleet;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.placement.LeaseEvents;
import org.limpetdoor.core.placement.OrderEvents;

/**
 * Guards against overcommitted memory, orders of a superseded holder, and configuration that
 * reverts, under pause, crash, restart, loss, duplication, delay and outage of the log.
 */
class AgreementPropertyTest {
  private static final int SEEDS = 40;
  private static final int NODES = 3;
  private static final int ENGINES = 4;
  private static final int MODELS = 6;
  private static final long FAULTS_UNTIL_MS = 300_000;
  private static final long CALM_UNTIL_MS = 440_000;

  private final Map<SimulatedNode, Long> versions = new HashMap<>();
  private Simulation world;
  private long steps;
  private long sequence;
  private int outages;
  private int pauses;
  private int crashes;
  private int intents;

  @Test
  void invariantsHoldAfterEveryStep() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      try {
        run(seed);
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed + "\n" + world.trace(), e);
      }
    }
    System.out.printf(
        "interleavings=%d steps=%d intents=%d pauses=%d crashes=%d outages=%d%n",
        SEEDS, steps, intents, pauses, crashes, outages);
    assertThat(intents).isGreaterThan(SEEDS * 20);
  }

  private void run(long seed) {
    ConfigurationPublished first = Fleet.publication(ENGINES, MODELS, 1);
    Configuration content = first.patch().applyTo(Configuration.EMPTY);
    world = new Simulation(seed, new ArrayList<Engine>(content.engines().values()));
    versions.clear();
    world.log.append(new Envelope(new AppendId("operator", ++sequence), first));
    for (int i = 0; i < NODES; i++) {
      world.startNode(new InstanceId("instance-" + i), 1);
    }
    world.at(0, this::disturb);
    world.at(0, this::intend);
    while (world.step(FAULTS_UNTIL_MS)) {
      check();
    }
    world.faulty = false;
    while (world.step(CALM_UNTIL_MS)) {
      check();
    }
    checkSettled();
  }

  private void check() {
    steps++;
    for (FakeEngine engine : world.engines.values()) {
      assertWithMessage("memory of %s", engine.configured.id())
          .that(engine.usedMib())
          .isAtMost(Fleet.CAPACITY_MIB);
    }
    assertThat(world.log.head().configurationVersion()).isEqualTo(world.log.winningVersion());
    for (SimulatedNode node : world.nodes) {
      long version = node.state.agreed().configurationVersion();
      Long before = versions.put(node, version);
      assertThat(before == null || before <= version).isTrue();
      assertThat(version)
          .isEqualTo(world.log.foldAt(node.state.agreed().nextOffset()).configurationVersion());
    }
  }

  /**
   * After the faults every model is served, every order is settled and the ledger tells what the
   * engines hold.
   */
  private void checkSettled() {
    for (SimulatedNode node : world.nodes) {
      if (!node.crashed) {
        long offset = node.state.agreed().nextOffset();
        assertThat(node.state.agreed()).isEqualTo(world.log.foldAt(offset));
      }
    }
    for (int i = 0; i < MODELS; i++) {
      assertThat(world.log.head().replicas(Fleet.modelId(i))).isNotEmpty();
    }
    for (FakeEngine engine : world.engines.values()) {
      EngineAccount account = world.log.head().ledger().account(engine.configured.id());
      assertWithMessage("pending of %s", engine.configured.id()).that(account.pending()).isEmpty();
      for (int i = 0; i < MODELS; i++) {
        ModelId model = Fleet.modelId(i);
        assertWithMessage("%s at %s", model, engine.configured.id())
            .that(account.bookings().containsKey(model))
            .isEqualTo(engine.holds(model));
      }
    }
  }

  /** Takes the place of the planner: orders whatever a holder may try. */
  private void intend() {
    if (!world.faulty || world.nowMs() >= FAULTS_UNTIL_MS) {
      return;
    }
    world.at(world.nowMs() + 100, this::intend);
    SimulatedNode node = world.nodes.get(world.random.nextInt(world.nodes.size()));
    BackendId engine = Fleet.engineId(world.random.nextInt(ENGINES));
    if (!node.running() || !LeaseEvents.holds(node.state, Shards.of(engine))) {
      return;
    }
    intents++;
    PlacementAction action =
        world.random.nextBoolean() ? PlacementAction.LOAD : PlacementAction.UNLOAD;
    ModelId model = Fleet.modelId(world.random.nextInt(MODELS));
    node.apply(
        OrderEvents.submitIntent(
            node.state,
            engine,
            model,
            Fleet.MODEL_MIB,
            action,
            PlacementReason.DEMAND,
            Optional.empty()));
  }

  private void disturb() {
    if (world.nowMs() >= FAULTS_UNTIL_MS) {
      return;
    }
    world.at(world.nowMs() + 4_000 + world.random.nextInt(12_000), this::disturb);
    SimulatedNode node = world.nodes.get(world.random.nextInt(world.nodes.size()));
    switch (world.random.nextInt(6)) {
      case 0:
        world.log.downUntilMs = world.nowMs() + world.random.nextInt(25_000);
        outages++;
        break;
      case 1:
        publish();
        break;
      case 2:
        restart(node);
        break;
      case 3:
        world.engines.get(Fleet.engineId(world.random.nextInt(ENGINES))).restart();
        break;
      default:
        node.pausedUntilMs = world.nowMs() + world.random.nextInt(40_000);
        pauses++;
        world.note("pause " + node.id + " until " + node.pausedUntilMs);
        break;
    }
  }

  private void restart(SimulatedNode node) {
    if (node.crashed) {
      return;
    }
    node.crashed = true;
    crashes++;
    world.note("crash " + node.id);
    long delayMs = world.random.nextInt(30_000);
    world.at(world.nowMs() + delayMs, () -> world.startNode(node.id, node.incarnation + 1));
  }

  /** Two operators race with the same base, sometimes an outdated one. */
  private void publish() {
    long base = world.log.head().configurationVersion() - world.random.nextInt(2);
    for (int i = 0; i < 2; i++) {
      ConfigurationPatch patch =
          new ConfigurationPatch(
              List.of(),
              List.of(Fleet.model(world.random.nextInt(MODELS), 1)),
              List.of(),
              List.of(),
              List.of(),
              Optional.empty(),
              ConfigurationPatch.Removals.NONE);
      world.log.append(
          new Envelope(
              new AppendId("operator", ++sequence),
              new ConfigurationPublished(base, "operator", patch)));
    }
  }
}
