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
 * Guards against overcommitted memory, orders of a superseded lease holder, and configuration that
 * reverts to an earlier version. The faults are pauses, crashes, restarts, lost, duplicated and
 * delayed messages, and outages of the log.
 */
class AgreementPropertyTest {
  private static final int SEEDS = 40;
  private static final int NODES = 3;
  private static final int ENGINES = 4;
  private static final int MODELS = 6;
  private static final long FAULTS_UNTIL_MS = 300_000;
  private static final long RECOVERY_UNTIL_MS = 440_000;

  private final Map<SimulatedNode, Long> versions = new HashMap<>();
  private Simulation simulation;
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
        throw new AssertionError("seed " + seed + "\n" + simulation.trace(), e);
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
    simulation = new Simulation(seed, new ArrayList<Engine>(content.engines().values()));
    versions.clear();
    simulation.log.append(new Envelope(new AppendId("operator", ++sequence), first));
    for (int i = 0; i < NODES; i++) {
      simulation.startNode(new InstanceId("instance-" + i), 1);
    }
    simulation.at(0, this::injectFault);
    simulation.at(0, this::submitIntent);
    while (simulation.step(FAULTS_UNTIL_MS)) {
      check();
    }
    simulation.faulty = false;
    while (simulation.step(RECOVERY_UNTIL_MS)) {
      check();
    }
    checkSettled();
  }

  private void check() {
    steps++;
    for (FakeEngine engine : simulation.engines.values()) {
      assertWithMessage("memory of %s", engine.configured.id())
          .that(engine.usedMib())
          .isAtMost(Fleet.CAPACITY_MIB);
    }
    assertThat(simulation.log.head().configurationVersion())
        .isEqualTo(simulation.log.winningVersion());
    for (SimulatedNode node : simulation.nodes) {
      long version = node.state.agreed().configurationVersion();
      Long previous = versions.put(node, version);
      assertThat(previous == null || previous <= version).isTrue();
      assertThat(version)
          .isEqualTo(
              simulation.log.foldAt(node.state.agreed().nextOffset()).configurationVersion());
    }
  }

  /**
   * Checks that after the faults every model is served, every order is settled and the ledger
   * matches the loaded models of the engines.
   */
  private void checkSettled() {
    for (SimulatedNode node : simulation.nodes) {
      if (!node.crashed) {
        long offset = node.state.agreed().nextOffset();
        assertThat(node.state.agreed()).isEqualTo(simulation.log.foldAt(offset));
      }
    }
    for (int i = 0; i < MODELS; i++) {
      assertThat(simulation.log.head().replicas(Fleet.modelId(i))).isNotEmpty();
    }
    for (FakeEngine engine : simulation.engines.values()) {
      EngineAccount account = simulation.log.head().ledger().account(engine.configured.id());
      assertWithMessage("pending of %s", engine.configured.id()).that(account.pending()).isEmpty();
      for (int i = 0; i < MODELS; i++) {
        ModelId model = Fleet.modelId(i);
        assertWithMessage("%s at %s", model, engine.configured.id())
            .that(account.bookings().containsKey(model))
            .isEqualTo(engine.holds(model));
      }
    }
  }

  /** Replaces the planner: submits a random intent of a lease holder. */
  private void submitIntent() {
    if (!simulation.faulty || simulation.nowMs() >= FAULTS_UNTIL_MS) {
      return;
    }
    simulation.at(simulation.nowMs() + 100, this::submitIntent);
    SimulatedNode node = simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
    BackendId engine = Fleet.engineId(simulation.random.nextInt(ENGINES));
    if (!node.running() || !LeaseEvents.holds(node.state, Shards.of(engine))) {
      return;
    }
    intents++;
    PlacementAction action =
        simulation.random.nextBoolean() ? PlacementAction.LOAD : PlacementAction.UNLOAD;
    ModelId model = Fleet.modelId(simulation.random.nextInt(MODELS));
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

  private void injectFault() {
    if (simulation.nowMs() >= FAULTS_UNTIL_MS) {
      return;
    }
    simulation.at(
        simulation.nowMs() + 4_000 + simulation.random.nextInt(12_000), this::injectFault);
    SimulatedNode node = simulation.nodes.get(simulation.random.nextInt(simulation.nodes.size()));
    switch (simulation.random.nextInt(6)) {
      case 0:
        simulation.log.downUntilMs = simulation.nowMs() + simulation.random.nextInt(25_000);
        outages++;
        break;
      case 1:
        publish();
        break;
      case 2:
        restart(node);
        break;
      case 3:
        simulation.engines.get(Fleet.engineId(simulation.random.nextInt(ENGINES))).restart();
        break;
      default:
        node.pausedUntilMs = simulation.nowMs() + simulation.random.nextInt(40_000);
        pauses++;
        simulation.recordTrace("pause " + node.id + " until " + node.pausedUntilMs);
        break;
    }
  }

  private void restart(SimulatedNode node) {
    if (node.crashed) {
      return;
    }
    node.crashed = true;
    crashes++;
    simulation.recordTrace("crash " + node.id);
    long delayMs = simulation.random.nextInt(30_000);
    simulation.at(
        simulation.nowMs() + delayMs, () -> simulation.startNode(node.id, node.incarnation + 1));
  }

  /** Publishes two configurations with the same base version, which is sometimes outdated. */
  private void publish() {
    long base = simulation.log.head().configurationVersion() - simulation.random.nextInt(2);
    for (int i = 0; i < 2; i++) {
      ConfigurationPatch patch =
          new ConfigurationPatch(
              List.of(),
              List.of(Fleet.model(simulation.random.nextInt(MODELS), 1)),
              List.of(),
              List.of(),
              List.of(),
              Optional.empty(),
              ConfigurationPatch.Removals.NONE);
      simulation.log.append(
          new Envelope(
              new AppendId("operator", ++sequence),
              new ConfigurationPublished(base, "operator", patch)));
    }
  }
}
