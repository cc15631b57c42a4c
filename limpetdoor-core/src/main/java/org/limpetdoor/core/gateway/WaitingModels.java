package org.limpetdoor.core.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.ModelWaitingDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.gateway.Placement.ModelRequest;

/** Reports, at the holder of the placement duty, which requested models are still not loaded. */
final class WaitingModels {
  /** Interval of the reports of one model or adapter, in milliseconds. */
  private static final long REPORT_INTERVAL_MS = 1_000;

  /** Maximum number of reports a tick, which bounds the volume of the log. */
  private static final int MAX_REPORTS = 8;

  private WaitingModels() {}

  /** Reports the models and adapters that are due, those that have waited longest first. */
  static Transition<NodeState, Effect> report(NodeState node) {
    if (!DutyEvents.maySendOrders(node)) {
      return Transition.of(node);
    }
    List<Map.Entry<ModelKey, ModelRequest>> due =
        node.gateway().placement().modelRequests().entrySet().stream()
            .filter(e -> node.nowMs() - e.getValue().reportedAtMs() >= REPORT_INTERVAL_MS)
            .sorted(
                Comparator.comparingLong(
                        (Map.Entry<ModelKey, ModelRequest> e) -> e.getValue().sinceMs())
                    .thenComparing(e -> e.getKey().toString()))
            .limit(MAX_REPORTS)
            .toList();
    Transition<NodeState, Effect> result = Transition.of(node);
    for (Map.Entry<ModelKey, ModelRequest> request : due) {
      result = result.then(next -> report(next, request.getKey(), request.getValue()));
    }
    return result;
  }

  private static Transition<NodeState, Effect> report(
      NodeState node, ModelKey key, ModelRequest request) {
    GatewayState state = node.gateway();
    Placement placement = state.placement().withModelRequest(key, request.reported(node.nowMs()));
    NodeState reported = node.withGateway(state.withPlacement(placement));
    Optional<PlacementObstacle> obstacle =
        state
            .table()
            .map(table -> table.services().get(request.service()))
            .flatMap(ServiceSpec::engine)
            .flatMap(spec -> PlacementPlanner.obstacle(node, request.service(), spec, key));
    if (obstacle.isEmpty()) {
      return Transition.of(reported);
    }
    int baseEngines =
        (int)
            state.engines().ofService(request.service()).stream()
                .filter(engine -> engine.usable() && engine.holds(key.base()))
                .count();
    return Transition.of(
        reported,
        new RecordDecision(
            new ModelWaitingDecision(
                key,
                request.service(),
                obstacle.get(),
                node.nowMs() - request.sinceMs(),
                baseEngines)));
  }
}
