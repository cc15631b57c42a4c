package org.limpetdoor.bench.experiment;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class WorkloadTest {
  private static final long SEED = 7;

  /** Guards against comparing policies on different demand for the same seed. */
  @Test
  void sameSeedGivesSameArrivals() {
    Workload workload = new Workload(0.5, 0, 10);
    assertThat(workload.arrivals(Site.EXCHANGE, SEED))
        .isEqualTo(workload.arrivals(Site.EXCHANGE, SEED));
  }

  /** Guards against comparing different short requests because long jobs shift the arrivals. */
  @Test
  void longJobsDoNotChangeShortRequests() {
    List<Arrival> with = new Workload(0.5, 0.03, 1).arrivals(Site.EXCHANGE, SEED);
    List<Arrival> without = new Workload(0.5, 0, 1).arrivals(Site.EXCHANGE, SEED);
    assertThat(with).hasSize(without.size());
    assertThat(with.stream().anyMatch(Arrival::longWork)).isTrue();
    for (int i = 0; i < with.size(); i++) {
      assertThat(with.get(i).atMs()).isEqualTo(without.get(i).atMs());
      if (!with.get(i).longWork()) {
        assertThat(with.get(i).outputTokens()).isEqualTo(without.get(i).outputTokens());
      }
    }
  }

  /** Guards against arrival rates that do not match the stated load. */
  @Test
  void workMatchesTheLoad() {
    double workMs =
        new Workload(0.5, 0, 1)
            .arrivals(Site.COOPERATIVE, SEED).stream().mapToDouble(Arrival::serviceMs).sum();
    int slots = Site.COOPERATIVE.groups.stream().mapToInt(EngineGroup::slots).sum();
    assertThat(workMs / (slots * (double) Workload.END_MS)).isWithin(0.03).of(0.5);
  }
}
