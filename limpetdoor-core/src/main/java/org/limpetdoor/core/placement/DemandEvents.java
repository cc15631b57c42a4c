package org.limpetdoor.core.placement;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.DemandReported;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Updates the demand and the unreachable engines in the state of the planner. */
public final class DemandEvents {
  /** Age at which a report expires, in milliseconds. Its reporter is assumed to have stopped. */
  static final long REPORT_TTL_MS = 10_000;

  private DemandEvents() {}

  /** Records a report. */
  public static Transition<NodeState, Effect> reported(NodeState state, DemandReported event) {
    DemandTable.Report report = new DemandTable.Report(state.nowMs(), event.models());
    DemandTable demand = planner(state).demand().withReport(event.reporter(), report);
    return Transition.of(withPlanner(state, planner(state).withDemand(demand)));
  }

  /**
   * Records since when engines have been unreachable, and samples the demand if a sample is due.
   */
  static NodeState withObservations(NodeState state) {
    NodeState updated =
        withPlanner(state, planner(state).withUnreachableSinceMs(unreachableSinceMs(state)));
    if (updated.nowMs() - planner(updated).lastSampledMs() < DemandTrend.SAMPLE_INTERVAL_MS) {
      return updated;
    }
    PlannerState current =
        planner(updated)
            .withDemand(
                planner(updated).demand().withoutReportsBefore(updated.nowMs() - REPORT_TTL_MS));
    return withPlanner(updated, current.withTrends(sampledTrends(current), updated.nowMs()));
  }

  static PlannerState planner(NodeState state) {
    return state.coordination().planner();
  }

  static NodeState withPlanner(NodeState state, PlannerState value) {
    return state.withCoordination(state.coordination().withPlanner(value));
  }

  private static PMap<ModelId, DemandTrend> sampledTrends(PlannerState planner) {
    PMap<ModelId, DemandTrend> trends = HashTreePMap.empty();
    for (ModelId model : planner.trends().plusAll(emptyTrends(planner)).keySet()) {
      DemandTrend next = planner.trendOf(model).withSample(planner.demand().slotsOf(model));
      trends = next.equals(DemandTrend.NONE) ? trends : trends.plus(model, next);
    }
    return trends;
  }

  private static PMap<ModelId, DemandTrend> emptyTrends(PlannerState planner) {
    PMap<ModelId, DemandTrend> result = HashTreePMap.empty();
    for (ModelId model : planner.demand().slots().keySet()) {
      result = result.plus(model, DemandTrend.NONE);
    }
    return result;
  }

  private static PMap<BackendId, Long> unreachableSinceMs(NodeState state) {
    PMap<BackendId, Long> since = HashTreePMap.empty();
    for (BackendId id : state.backends().states().keySet()) {
      BackendState backend = state.backends().get(id);
      if (backend.unreachableUntilMs() > state.nowMs()) {
        long firstMs = planner(state).unreachableSinceMs().getOrDefault(id, state.nowMs());
        since = since.plus(id, firstMs);
      }
    }
    return since;
  }
}
