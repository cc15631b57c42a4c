package org.limpetdoor.core.placement;

import java.util.List;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Demand of all reporters, with the sum for each model. Adding a report takes time proportional to
 * the number of models in it.
 *
 * @param reports last report of each reporter
 * @param slots sum of the reports for each model, in engine slots
 */
public record DemandTable(PMap<InstanceId, Report> reports, PMap<ModelId, Integer> slots) {
  /** No demand. */
  public static final DemandTable EMPTY =
      new DemandTable(HashTreePMap.empty(), HashTreePMap.empty());

  /**
   * Demand report of one instance.
   *
   * @param receivedAtMs time of receipt, in monotonic milliseconds
   * @param models demand of each model
   */
  public record Report(long receivedAtMs, List<ModelDemand> models) {}

  /** Returns the demand for a model in engine slots. */
  public int slotsOf(ModelId model) {
    return slots.getOrDefault(model, 0);
  }

  DemandTable withReport(InstanceId reporter, Report report) {
    DemandTable withoutPrevious = without(reporter);
    PMap<ModelId, Integer> sums = addTo(withoutPrevious.slots, report.models(), 1);
    return new DemandTable(withoutPrevious.reports.plus(reporter, report), sums);
  }

  /** Returns a copy without the reports received before a time. */
  DemandTable withoutReportsBefore(long oldestMs) {
    DemandTable result = this;
    for (InstanceId reporter : reports.keySet()) {
      result = reports.get(reporter).receivedAtMs() < oldestMs ? result.without(reporter) : result;
    }
    return result;
  }

  private DemandTable without(InstanceId reporter) {
    Report previous = reports.get(reporter);
    return previous == null
        ? this
        : new DemandTable(reports.minus(reporter), addTo(slots, previous.models(), -1));
  }

  private static PMap<ModelId, Integer> addTo(
      PMap<ModelId, Integer> sums, List<ModelDemand> models, int sign) {
    PMap<ModelId, Integer> result = sums;
    for (ModelDemand demand : models) {
      int sum = result.getOrDefault(demand.model(), 0) + sign * demand.slots();
      result = sum == 0 ? result.minus(demand.model()) : result.plus(demand.model(), sum);
    }
    return result;
  }
}
