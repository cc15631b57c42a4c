package org.limpetdoor.scenario;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.request.Target.ModelTarget;
import org.limpetdoor.scenario.steps.SystemSteps;

/** Guards against a simulation that loses requests or gives different results when repeated. */
final class ScenarioSimulationTest {
  private static final int REQUESTS = 100_000;

  @Test
  void allRequestsAreAnsweredAndRepeatedRunsAreEqual() {
    assertThat(run()).isEqualTo(run());
  }

  private static List<Long> run() {
    ScenarioSimulation simulation = new ScenarioSimulation();
    SystemSteps system = new SystemSteps(simulation);
    system.model("m1");
    system.engines(4, 16, "a", "m1");
    system.customers(List.of(Map.of("customer", "coop")));
    system.instance("a");
    system.instance("a");
    simulation.instances();
    ModelTarget target = new ModelTarget(new ModelId("m1"), Optional.empty());
    for (int i = 0; i < REQUESTS; i++) {
      simulation.time().at(i, () -> simulation.send("coop", target, RequestShape.of(50, 3)));
    }
    simulation.advance(REQUESTS + 10_000);
    assertThat(simulation.callers().stream().allMatch(CallerRecord::finished)).isTrue();
    return simulation.callers().stream().map(CallerRecord::timeToEndMs).toList();
  }
}
