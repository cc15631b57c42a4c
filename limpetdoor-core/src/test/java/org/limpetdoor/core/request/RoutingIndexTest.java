package org.limpetdoor.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/** Guards against decisions whose cost grows with the fleet, and engines that no instance uses. */
final class RoutingIndexTest {
  private static final UpstreamId MODEL = new UpstreamId(false, "m1");
  private static final int INSTANCES = 200;

  @Test
  void subsetIsBoundedAndReachesOtherZones() {
    List<Candidate> subset = subset("i1", 2_000, 1.0);
    assertThat(subset).hasSize(Subset.MAX_SIZE);
    assertThat(subset.stream().filter(Candidate::remote).count()).isAtLeast(2);
    assertThat(subset("i1", 2_000, 1.0)).isEqualTo(subset);
  }

  @Test
  void smallFleetIsUsedAsAWhole() {
    assertThat(subset("i1", 8, 0.1)).hasSize(8);
    assertThat(subset("i1", 2, 0.001)).hasSize(2);
  }

  @Test
  void allEnginesAreUsedBySomeInstance() {
    long used =
        IntStream.range(0, INSTANCES)
            .boxed()
            .flatMap(i -> subset("i" + i, 200, 1.0 / INSTANCES).stream())
            .map(candidate -> candidate.backend().id())
            .distinct()
            .count();
    assertThat(used).isAtLeast(199);
  }

  @Test
  void indexIsKeptWhileEnginesAndServicesStay() {
    Configuration before = configuration(8);
    RoutingIndex index = RoutingIndex.of(self("i1"), before, 1.0);
    assertThat(index.fits(before.withContracts(List.of()), 1.0)).isTrue();
    assertThat(index.fits(configuration(8), 1.0)).isFalse();
  }

  private static List<Candidate> subset(String instance, int engines, double part) {
    RoutingIndex index = RoutingIndex.of(self(instance), configuration(engines), part);
    return index.candidates(MODEL).backends();
  }

  private static NodeState.Self self(String instance) {
    long number = Math.abs(Rendezvous.hash(instance));
    return new NodeState.Self(new InstanceId(instance), 1, new ZoneId("z" + number % 4));
  }

  private static Configuration configuration(int engines) {
    return Configuration.EMPTY.withEngines(
        IntStream.range(0, engines).mapToObj(RoutingIndexTest::engine).toList());
  }

  private static Engine engine(int number) {
    return new Engine(
        new BackendId("e" + number),
        new ZoneId("z" + number % 4),
        "127.0.0.1:1",
        8,
        1,
        FencingSupport.CHECKED,
        List.of(new ModelId("m1")));
  }
}
