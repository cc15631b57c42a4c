package org.limpetdoor.core.request;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.backend.BackendState;
import org.limpetdoor.core.backend.LoadReport;
import org.limpetdoor.core.decision.RoutingReason;
import org.limpetdoor.core.id.AdapterId;

/**
 * Scores the candidates of one request; lower is better. Scores are in units of the load of a back
 * end, where 1 means that all of its slots are in use.
 *
 * @param state state of this instance
 * @param adapter the adapter of the request, if any
 * @param pace measured speed of the engines of the model
 * @param prefixOwner the candidate that is expected to have the prefix of the request in its cache,
 *     if any
 */
record Scorer(
    NodeState state, Optional<AdapterId> adapter, ModelPace pace, Optional<Candidate> prefixOwner) {
  /**
   * Load difference that is accepted to stay in the zone, because traffic between zones costs more.
   */
  private static final double REMOTE_COST = 0.15;

  /** Load difference that is accepted to reuse a cached prefix. */
  private static final double PREFIX_BONUS = 0.5;

  /** Load difference that is accepted to avoid loading an adapter. */
  private static final double ADAPTER_BONUS = 0.4;

  /**
   * A prefix owner above this multiple of the mean load gets no bonus, so that requests with a
   * popular prefix spread over engines.
   */
  private static final double MAX_OWNER_LOAD_RATIO = 1.25;

  /** Older reports are ignored, because they no longer reflect the load. */
  private static final long MAX_REPORT_AGE_MS = 5_000;

  static Scorer of(NodeState state, RequestState request, List<Candidate> eligible) {
    ModelPace pace = state.requests().decisionInputs().paces().of(request.plan().pool().upstream());
    Optional<Candidate> owner = Optional.empty();
    if (request.spec().prefixHash() != 0) {
      owner =
          ownerWithinLoadBound(state, pace, owner(request.spec().prefixHash(), eligible), eligible);
    }
    return new Scorer(state, Router.adapter(request), pace, owner);
  }

  Candidate best(List<Candidate> eligible) {
    Candidate best = null;
    double bestScore = 0;
    for (Candidate candidate : eligible) {
      double score = score(candidate);
      boolean better =
          best == null
              || score < bestScore
              || (score == bestScore
                  && candidate.backend().id().compareTo(best.backend().id()) < 0);
      if (better) {
        best = candidate;
        bestScore = score;
      }
    }
    return best;
  }

  RoutingReason reason(Candidate chosen, int candidates) {
    if (candidates == 1) {
      return RoutingReason.ONLY_CANDIDATE;
    }
    if (prefixOwner.filter(chosen::equals).isPresent()) {
      return RoutingReason.PREFIX_CACHED;
    }
    return holdsAdapter(chosen) ? RoutingReason.ADAPTER_HELD : RoutingReason.LEAST_LOADED;
  }

  private double score(Candidate candidate) {
    double score = load(state, pace, candidate);
    score += candidate.remote() ? REMOTE_COST : 0;
    score -= prefixOwner.filter(candidate::equals).isPresent() ? PREFIX_BONUS : 0;
    return score - (holdsAdapter(candidate) ? ADAPTER_BONUS : 0);
  }

  private boolean holdsAdapter(Candidate candidate) {
    BackendState backendState = state.backends().get(candidate.backend().id());
    return adapter.filter(backendState.adapters()::holds).isPresent();
  }

  /**
   * Returns the load of a back end relative to its slots. It adds the requests of this instance to
   * those of other instances in the last report. An engine that is slower than its peers is treated
   * as one with fewer slots.
   */
  private static double load(NodeState state, ModelPace pace, Candidate candidate) {
    BackendState backendState = state.backends().get(candidate.backend().id());
    int otherRequests =
        backendState
            .report()
            .filter(report -> state.nowMs() - report.receivedAtMs() < MAX_REPORT_AGE_MS)
            .map(LoadReport::callsOfOthers)
            .orElse(0);
    double slowRatio = pace.slowRatio(candidate.backend().id(), state.nowMs());
    return slowRatio
        * (backendState.inFlight() + otherRequests + 1.0)
        / candidate.backend().slots();
  }

  private static Candidate owner(long prefixHash, List<Candidate> eligible) {
    Candidate owner = eligible.get(0);
    long highest = Rendezvous.weight(prefixHash, owner.hash());
    for (Candidate candidate : eligible) {
      long weight = Rendezvous.weight(prefixHash, candidate.hash());
      if (weight > highest) {
        owner = candidate;
        highest = weight;
      }
    }
    return owner;
  }

  private static Optional<Candidate> ownerWithinLoadBound(
      NodeState state, ModelPace pace, Candidate owner, List<Candidate> eligible) {
    double sum = 0;
    for (Candidate candidate : eligible) {
      sum += load(state, pace, candidate);
    }
    double slack = 1.0 / owner.backend().slots();
    double bound = MAX_OWNER_LOAD_RATIO * sum / eligible.size() + slack;
    return load(state, pace, owner) <= bound ? Optional.of(owner) : Optional.empty();
  }
}
