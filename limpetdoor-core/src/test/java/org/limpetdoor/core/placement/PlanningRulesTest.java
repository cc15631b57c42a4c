package org.limpetdoor.core.placement;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.agreed.Fleet;
import org.limpetdoor.core.decision.PlacementReason;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;

class PlanningRulesTest {
  private static final InstanceId SELF = new InstanceId("a");
  private static final ModelId MODEL = Fleet.modelId(0);

  /** Guards against holders that all load the same model because they find the same shortage. */
  @Test
  void onlyAsManyShardsAsMissingReplicasActFirst() {
    ModelSupply supply = new ModelSupply(Fleet.model(0, 2), 0, 0, 0, Set.of(), 4, DemandTrend.NONE);
    Shortage shortage = new Shortage(supply, 2, PlacementReason.BELOW_MINIMUM);
    assertThat(IntStream.range(0, 64).filter(i -> shortage.mayAct(i, 64, 0)).count()).isEqualTo(2);
    assertThat(IntStream.range(0, 64).filter(i -> shortage.mayAct(i, 64, 6_000)).count())
        .isEqualTo(64);
  }

  /** Guards against an unload that leaves too few replicas for the minimum or the demand. */
  @Test
  void replicaIsSurplusOnlyAboveMinimumAndDemand() {
    assertThat(supply(2, 0, 0).hasSurplus()).isFalse();
    assertThat(supply(3, 1, 0).hasSurplus()).isFalse();
    assertThat(supply(3, 0, 0).hasSurplus()).isTrue();
    assertThat(supply(3, 0, 3).hasSurplus()).isTrue();
    assertThat(supply(3, 0, 4).hasSurplus()).isFalse();
  }

  /** Guards against parts that add up to more than the limit. */
  @Test
  void partsAddUpToTheLimit() {
    for (int total = 0; total < 200; total++) {
      int sum = 0;
      for (int i = 0; i < 64; i++) {
        sum += LoadLimitParts.part(total, 64, i);
      }
      assertThat(sum).isEqualTo(total);
    }
  }

  /**
   * Guards against counting the demand of a stopped reporter, and against counting demand twice.
   */
  @Test
  void reportsReplaceEachOtherAndExpire() {
    DemandTable.Report first = report(0, 3);
    DemandTable table =
        DemandTable.EMPTY.withReport(SELF, first).withReport(new InstanceId("b"), report(50, 4));
    assertThat(table.slotsOf(MODEL)).isEqualTo(7);
    assertThat(table.withReport(SELF, report(60, 1)).slotsOf(MODEL)).isEqualTo(5);
    assertThat(table.withoutReportsBefore(10).slotsOf(MODEL)).isEqualTo(4);
  }

  private DemandTable.Report report(long atMs, int slots) {
    return new DemandTable.Report(atMs, List.of(new ModelDemand(MODEL, slots, 0)));
  }

  private static ModelSupply supply(int serving, int unavailable, int peakSlots) {
    DemandTrend trend = new DemandTrend(0, 0, peakSlots);
    return new ModelSupply(Fleet.model(0, 2), serving, 1, unavailable, Set.of(), 4, trend);
  }
}
