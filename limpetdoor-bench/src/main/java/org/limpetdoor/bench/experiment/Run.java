package org.limpetdoor.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.limpetdoor.scenario.FakeBackend;
import org.limpetdoor.scenario.ScenarioSimulation;

/** One run of a workload on a site under a policy. */
record Run(Site site, Policy policy, long seed) {
  private static final long REPORT_LAG_MS = 2_000;

  /** Time for all answers that can still start in time to complete, also the longest ones. */
  private static final long DRAIN_MS = 30_000;

  private static final int SLOWED_ENGINES = 2;
  private static final double SLOW_FACTOR = 5;
  private static final long SLOW_MS = 10_000;

  List<Outcome> execute(Workload workload, boolean slowEngines) {
    ScenarioSimulation simulation = new ScenarioSimulation(policy.reducers(Site.INSTANCES));
    for (int i = 0; i < Site.INSTANCES; i++) {
      simulation.addInstance("zone-" + i % site.zones);
    }
    simulation.setLoadReportLagMs(REPORT_LAG_MS);
    simulation.configure(site.configuration());
    simulation.instances();
    if (slowEngines) {
      slowDownEngines(simulation);
    }
    List<Outcome> outcomes = new ArrayList<>();
    for (Arrival arrival : workload.arrivals(site, seed)) {
      simulation.time().at(arrival.atMs(), () -> outcomes.add(send(simulation, arrival)));
    }
    simulation.advance(Workload.END_MS + DRAIN_MS);
    return outcomes.stream().filter(Outcome::measured).toList();
  }

  private static Outcome send(ScenarioSimulation simulation, Arrival arrival) {
    return new Outcome(
        arrival, simulation.send(arrival.customer().id(), arrival.target(), arrival.shape()));
  }

  private void slowDownEngines(ScenarioSimulation simulation) {
    // A seed other than that of the arrivals keeps the slow periods independent of them.
    SplittableRandom random = new SplittableRandom(~seed);
    List<FakeBackend> engines = new ArrayList<>(simulation.backends());
    for (int i = 0; i < SLOWED_ENGINES; i++) {
      FakeBackend engine = engines.remove(random.nextInt(engines.size()));
      long fromMs = random.nextLong(Workload.WARM_UP_MS, Workload.END_MS - SLOW_MS);
      simulation.time().at(fromMs, () -> engine.setSlowFactor(SLOW_FACTOR));
      simulation.time().at(fromMs + SLOW_MS, () -> engine.setSlowFactor(1));
    }
  }
}
