package org.limpetdoor.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.backend.LoadReport;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.decision.PassOverReason;
import org.limpetdoor.core.decision.RoutingDecision;
import org.limpetdoor.core.decision.RoutingDecision.PassedOver;
import org.limpetdoor.core.decision.RoutingReason;
import org.limpetdoor.core.id.BackendId;

/** Chooses the back end of an attempt. */
final class Router {
  private Router() {}

  /** The result of routing one request. */
  record Choice(Optional<Backend> backend, List<PassedOver> passedOver) {
    /**
     * Returns whether a candidate is in service but has no free slot, so that waiting makes sense.
     */
    boolean worthWaiting() {
      return passedOver.stream().anyMatch(p -> p.reason() == PassOverReason.NO_FREE_SLOT);
    }
  }

  /** Chooses the candidate with the lowest load in relation to its slots. */
  static Choice choose(NodeState state, RequestState request) {
    List<PassedOver> passedOver = new ArrayList<>();
    List<Backend> free = new ArrayList<>();
    for (Backend backend : candidates(state, request)) {
      Optional<PassOverReason> obstacle = obstacle(state, request, backend);
      obstacle.ifPresentOrElse(
          reason -> passedOver.add(new PassedOver(backend.id(), reason)), () -> free.add(backend));
    }
    Comparator<Backend> order =
        Comparator.<Backend>comparingDouble(backend -> load(state, backend))
            .thenComparing(Backend::id);
    Optional<Backend> chosen = free.stream().min(order);
    free.stream()
        .filter(backend -> !backend.id().equals(chosen.map(Backend::id).orElse(null)))
        .forEach(b -> passedOver.add(new PassedOver(b.id(), PassOverReason.HIGHER_LOAD)));
    return new Choice(chosen, passedOver);
  }

  /** Returns the typed reason of a choice. */
  static RoutingDecision decision(
      NodeState state, RequestState request, BackendId chosen, List<PassedOver> passedOver) {
    boolean alternatives =
        passedOver.stream().anyMatch(p -> p.reason() == PassOverReason.HIGHER_LOAD);
    long reportAgeMs =
        state
            .backends()
            .get(chosen)
            .report()
            .map(r -> state.nowMs() - r.reportedAtMs())
            .orElse(-1L);
    return new RoutingDecision(
        request.lastAttempt(),
        request.customer(),
        request.spec().target().label(),
        chosen,
        alternatives ? RoutingReason.LEAST_LOADED : RoutingReason.ONLY_CANDIDATE,
        passedOver,
        reportAgeMs);
  }

  private static List<Backend> candidates(NodeState state, RequestState request) {
    return state
        .requests()
        .learned()
        .index()
        .candidates(request.plan().pool().upstream())
        .backends();
  }

  private static Optional<PassOverReason> obstacle(
      NodeState state, RequestState request, Backend backend) {
    BackendState known = state.backends().get(backend.id());
    if (request.tried().contains(backend.id())) {
      return Optional.of(PassOverReason.ALREADY_TRIED);
    }
    if (known.leaving()) {
      return Optional.of(PassOverReason.LEAVING);
    }
    if (known.unreachableUntilMs() > state.nowMs()) {
      return Optional.of(PassOverReason.UNREACHABLE);
    }
    if (known.inFlight() >= backend.slots()) {
      return Optional.of(PassOverReason.NO_FREE_SLOT);
    }
    return Optional.empty();
  }

  /** Own requests in flight count at once; a report corrects them upwards by what others run. */
  private static double load(NodeState state, Backend backend) {
    BackendState known = state.backends().get(backend.id());
    int reported = known.report().map(Router::total).orElse(0);
    return (double) Math.max(known.inFlight(), reported) / backend.slots();
  }

  private static int total(LoadReport report) {
    return report.running() + report.queued();
  }
}
