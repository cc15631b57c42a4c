package org.limpetdoor.core.request;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.agreed.LogRecord;
import org.limpetdoor.core.agreed.LogRecord.ConfigurationPublished;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.PlacementIntended;
import org.limpetdoor.core.agreed.PlacementAction;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.agreed.StoredRecord;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.ConfigurationPatch;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.FencingSupport;
import org.limpetdoor.core.config.Model;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ZoneId;

/**
 * Guards against routing costs that grow with the fleet, and against engines that no instance uses.
 */
final class RoutingIndexTest {
  private static final UpstreamId MODEL = new UpstreamId(false, "m1");
  private static final int INSTANCES = 200;

  @Test
  void subsetIsBoundedAndReachesOtherZones() {
    List<Candidate> subset = subset("i1", 2_000, 1.0);
    assertThat(subset).hasSize(BackendSubset.MAX_SIZE);
    assertThat(subset.stream().filter(Candidate::remote).count()).isAtLeast(2);
    assertThat(subset("i1", 2_000, 1.0)).isEqualTo(subset);
  }

  @Test
  void smallFleetIsUsedAsAWhole() {
    assertThat(subset("i1", 8, 0.1)).hasSize(8);
    assertThat(subset("i1", 2, 0.001)).hasSize(2);
  }

  @Test
  void almostEveryEngineIsUsedBySomeInstance() {
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
  void indexIsKeptWhileEnginesServicesAndReplicasAreUnchanged() {
    AgreedState before = agreed(8);
    RoutingIndex index = RoutingIndex.of(self("i1"), before, 1.0);
    Configuration configuration = before.configuration();
    Configuration changed = configuration.withLimits(new PlatformLimits(2.5, 1, 1, 1));
    ConfigurationPatch patch = ConfigurationPatch.between(configuration, changed);
    assertThat(patch.isEmpty()).isFalse();
    assertThat(index.isCurrent(publish(before, patch), 1.0)).isTrue();
    assertThat(index.isCurrent(agreed(8), 1.0)).isFalse();
  }

  /**
   * Guards against an incremental update that differs from a rebuilt index after a change of the
   * ledger.
   */
  @Test
  void updatedIndexEqualsRebuiltIndex() {
    NodeState.Self self = self("i1");
    AgreedState agreed = agreed(40);
    RoutingIndex updated = RoutingIndex.of(self, agreed, 0.1);
    for (int i = 0; i < 40; i += 3) {
      agreed = withIntendedUnload(agreed, new BackendId("e" + i));
      updated = updated.updatedFor(self, agreed, 0.1);
      RoutingIndex rebuilt = RoutingIndex.of(self, agreed, 0.1);
      assertThat(updated.isCurrent(agreed, 0.1)).isTrue();
      assertThat(updated.candidates()).isEqualTo(rebuilt.candidates());
      assertThat(updated.upstreams()).isEqualTo(rebuilt.upstreams());
    }
    assertThat(updated.candidates(MODEL).fleetSlots()).isEqualTo(8 * 26);
  }

  private static List<Candidate> subset(String instance, int engines, double fleetShare) {
    RoutingIndex index = RoutingIndex.of(self(instance), agreed(engines), fleetShare);
    return index.candidates(MODEL).backends();
  }

  private static AgreedState agreed(int engines) {
    return publish(AgreedState.INITIAL, ConfigurationPatch.of(configuration(engines)));
  }

  private static AgreedState publish(AgreedState state, ConfigurationPatch patch) {
    return fold(state, new ConfigurationPublished(state.configurationVersion(), "test", patch));
  }

  private static AgreedState withIntendedUnload(AgreedState state, BackendId engine) {
    int shard = Shards.of(engine);
    long lastEpoch = state.leases().get(shard).epoch();
    AgreedState leased =
        fold(state, new LeaseClaimed(shard, new InstanceId("i2"), lastEpoch, 15_000));
    return fold(
        leased,
        new PlacementIntended(
            "unload-" + engine,
            shard,
            leased.leases().get(shard).epoch(),
            engine,
            new ModelId("m1"),
            0,
            PlacementAction.UNLOAD));
  }

  private static AgreedState fold(AgreedState state, LogRecord logRecord) {
    long offset = state.nextOffset();
    Envelope envelope = new Envelope(new AppendId("i2:1", offset + 1), logRecord);
    return state.fold(new StoredRecord(offset, envelope)).state();
  }

  private static NodeState.Self self(String instance) {
    long number = Math.abs(Rendezvous.hash(instance));
    return new NodeState.Self(new InstanceId(instance), 1, new ZoneId("z" + number % 4));
  }

  private static Configuration configuration(int engines) {
    return Configuration.EMPTY
        .withModels(List.of(new Model(new ModelId("m1"), "1", 1, 1, 5)))
        .withEngines(IntStream.range(0, engines).mapToObj(RoutingIndexTest::engine).toList());
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
