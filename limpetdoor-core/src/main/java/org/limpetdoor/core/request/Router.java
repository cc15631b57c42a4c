package org.limpetdoor.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.decision.PassOverReason;
import org.limpetdoor.core.decision.RoutingDecision;
import org.limpetdoor.core.decision.RoutingDecision.PassedOver;
import org.limpetdoor.core.decision.RoutingReason;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.request.Target.ModelTarget;

/**
 * Chooses the back end of an attempt. The cost depends on the size of the subset that this instance
 * uses, not on the size of the fleet.
 */
final class Router {
  private Router() {}

  /**
   * The result of routing one request.
   *
   * @param backend the chosen back end, if one can accept the request now
   * @param passedOver the other candidates, each with the reason why it was not chosen
   * @param loadsAdapter whether the chosen engine has to load the adapter first
   * @param reason reason for the choice
   */
  record Choice(
      Optional<Backend> backend,
      List<PassedOver> passedOver,
      boolean loadsAdapter,
      RoutingReason reason) {
    /** Returns whether a candidate that cannot accept the request now may do so later. */
    boolean mayBecomeAvailable() {
      return passedOver.stream().anyMatch(p -> p.reason().isTemporary());
    }

    boolean waitsForAdapterLoad() {
      return passedOver.stream().anyMatch(p -> p.reason() == PassOverReason.ADAPTER_LOADS_AT_LIMIT);
    }
  }

  /** Chooses the candidate with the lowest score; ties are broken by the lower identifier. */
  static Choice choose(NodeState state, RequestState request) {
    List<PassedOver> passedOver = new ArrayList<>();
    List<Candidate> eligible = new ArrayList<>();
    for (Candidate candidate : candidates(state, request).backends()) {
      PassOverReason reason = passOverReason(state, request, candidate.backend());
      if (reason == null) {
        eligible.add(candidate);
      } else {
        passedOver.add(new PassedOver(candidate.backend().id(), reason));
      }
    }
    if (eligible.isEmpty()) {
      return new Choice(Optional.empty(), passedOver, false, RoutingReason.ONLY_CANDIDATE);
    }
    Scorer scorer = Scorer.of(state, request, eligible);
    Candidate chosen = scorer.best(eligible);
    for (Candidate other : eligible) {
      if (!other.equals(chosen)) {
        passedOver.add(new PassedOver(other.backend().id(), PassOverReason.HIGHER_LOAD));
      }
    }
    return new Choice(
        Optional.of(chosen.backend()),
        passedOver,
        needsAdapterLoad(state, request, chosen.backend()),
        scorer.reason(chosen, eligible.size()));
  }

  /** Returns the decision record of a choice. */
  static RoutingDecision decision(
      NodeState state, RequestState request, BackendId chosen, Choice choice) {
    long reportAgeMs =
        state
            .backends()
            .get(chosen)
            .report()
            .map(r -> state.nowMs() - r.receivedAtMs())
            .orElse(-1L);
    return new RoutingDecision(
        request.lastAttempt(),
        request.customer(),
        request.spec().target().label(),
        chosen,
        choice.reason(),
        choice.passedOver(),
        reportAgeMs);
  }

  private static RoutingIndex.Candidates candidates(NodeState state, RequestState request) {
    return state
        .requests()
        .decisionInputs()
        .routingIndex()
        .candidates(request.plan().pool().upstream());
  }

  private static PassOverReason passOverReason(
      NodeState state, RequestState request, Backend backend) {
    BackendState backendState = state.backends().get(backend.id());
    if (request.triedBackends().contains(backend.id())) {
      return PassOverReason.ALREADY_TRIED;
    }
    if (backendState.leavingStatus().blocksNewWorkAt(state.nowMs())) {
      return PassOverReason.LEAVING;
    }
    if (backendState.unreachableUntilMs() > state.nowMs()) {
      return PassOverReason.UNREACHABLE;
    }
    Optional<PassOverReason> quarantine =
        Quarantine.passOverReason(state, request, backendState, backend.id());
    if (quarantine.isPresent()) {
      return quarantine.get();
    }
    int slots = candidates(state, request).slots(backend);
    PassOverReason slotReason =
        slotPassOverReason(request.plan().pool().workClass(), backendState, slots);
    if (slotReason != null) {
      return slotReason;
    }
    boolean mayLoad = mayLoadAdapter(state);
    return !mayLoad && needsAdapterLoad(state, request, backend)
        ? PassOverReason.ADAPTER_LOADS_AT_LIMIT
        : null;
  }

  /**
   * Returns the reason if no slot of a back end is free for the work class. Long work beyond its
   * cap is not counted, because the engine interrupts it for short work, which has a higher
   * priority.
   */
  private static PassOverReason slotPassOverReason(
      WorkClass workClass, BackendState backendState, int slots) {
    int longSlots = WorkClass.LONG.maxSlots(slots);
    if (workClass == WorkClass.LONG && backendState.longInFlight() >= longSlots) {
      return PassOverReason.LONG_SLOTS_IN_USE;
    }
    int slotsInUse =
        backendState.inFlight()
            - backendState.longInFlight()
            + Math.min(longSlots, backendState.longInFlight());
    return slotsInUse >= slots ? PassOverReason.NO_FREE_SLOT : null;
  }

  private static boolean needsAdapterLoad(NodeState state, RequestState request, Backend backend) {
    return adapter(request)
        .filter(id -> !state.backends().get(backend.id()).adapters().holds(id))
        .isPresent();
  }

  static Optional<AdapterId> adapter(RequestState request) {
    return request.spec().target() instanceof ModelTarget call ? call.adapter() : Optional.empty();
  }

  private static boolean mayLoadAdapter(NodeState state) {
    DecisionInputs inputs = state.requests().decisionInputs();
    double maxLoads =
        state.configuration().limits().adapterLoadsAtOnce() * inputs.limitShare().otherwise();
    return inputs.adapterLoads().inFlight().size() < Math.max(1, (int) maxLoads);
  }
}
