package org.limpetdoor.core.placement;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State of the planner between two ticks.
 *
 * @param demand reported demand
 * @param trends trend of the demand for each model with current or recent demand
 * @param lastSampledMs time of the last sample of the demand
 * @param nextLoadMs time from which each held shard may start its next load
 * @param unreachableSinceMs time at which each unreachable engine was first found to be unreachable
 * @param shortageSinceMs time at which each model was first found to lack replicas
 */
public record PlannerState(
    DemandTable demand,
    PMap<ModelId, DemandTrend> trends,
    long lastSampledMs,
    PMap<Integer, Long> nextLoadMs,
    PMap<BackendId, Long> unreachableSinceMs,
    PMap<ModelId, Long> shortageSinceMs) {

  /** The state of an instance that has just started. */
  public static final PlannerState INITIAL =
      new PlannerState(
          DemandTable.EMPTY,
          HashTreePMap.empty(),
          0,
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          HashTreePMap.empty());

  /** Returns the trend of the demand for a model. */
  public DemandTrend trendOf(ModelId model) {
    return trends.getOrDefault(model, DemandTrend.NONE);
  }

  PlannerState withDemand(DemandTable value) {
    return new PlannerState(
        value, trends, lastSampledMs, nextLoadMs, unreachableSinceMs, shortageSinceMs);
  }

  PlannerState withTrends(PMap<ModelId, DemandTrend> value, long nowMs) {
    return new PlannerState(demand, value, nowMs, nextLoadMs, unreachableSinceMs, shortageSinceMs);
  }

  PlannerState withNextLoadMs(PMap<Integer, Long> value) {
    return new PlannerState(
        demand, trends, lastSampledMs, value, unreachableSinceMs, shortageSinceMs);
  }

  PlannerState withUnreachableSinceMs(PMap<BackendId, Long> value) {
    return new PlannerState(demand, trends, lastSampledMs, nextLoadMs, value, shortageSinceMs);
  }

  PlannerState withShortageSinceMs(PMap<ModelId, Long> value) {
    return new PlannerState(demand, trends, lastSampledMs, nextLoadMs, unreachableSinceMs, value);
  }
}
