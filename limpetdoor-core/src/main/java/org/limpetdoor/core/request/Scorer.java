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
 * @param state the state
 * @param adapter the adapter of the request, if any
 * @param pace how fast the engines of the model answer
 * @param prefixOwner the candidate that keeps the prefix of the request in its cache, if any
 */
record Scorer(
    NodeState state, Optional<AdapterId> adapter, ModelPace pace, Optional<Candidate> prefixOwner) {
  /** Load difference that is accepted to stay in the zone; links between zones cost more. */
  private static final double REMOTE_COST = 0.15;

  /** Load difference that is accepted to reuse a cached prefix. */
  private static final double PREFIX_BONUS = 0.5;

  /** Load difference that is accepted to avoid loading an adapter. */
  private static final double ADAPTER_BONUS = 0.4;

  /** A prefix owner above this multiple of the mean load gets no bonus, so that hot ones spread. */
  private static final double LOAD_BOUND = 1.25;

  /** Reports older than this say nothing about the present. */
  private static final long REPORT_USABLE_MS = 5_000;

  static Scorer of(NodeState state, RequestState request, List<Candidate> free) {
    ModelPace pace = state.requests().decisionInputs().paces().of(request.plan().pool().upstream());
    Optional<Candidate> owner = Optional.empty();
    if (request.spec().prefixHash() != 0) {
      owner = withinBound(state, pace, owner(request.spec().prefixHash(), free), free);
    }
    return new Scorer(state, Router.adapter(request), pace, owner);
  }

  Candidate best(List<Candidate> free) {
    Candidate best = null;
    double bestScore = 0;
    for (Candidate candidate : free) {
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
    BackendState known = state.backends().get(candidate.backend().id());
    return adapter.filter(known.adapters()::holds).isPresent();
  }

  /**
   * Own requests count at once; what others ran is known only from the last report. An engine that
   * is slower than its peers counts as one with fewer slots.
   */
  private static double load(NodeState state, ModelPace pace, Candidate candidate) {
    BackendState known = state.backends().get(candidate.backend().id());
    int others =
        known
            .report()
            .filter(report -> state.nowMs() - report.reportedAtMs() < REPORT_USABLE_MS)
            .map(LoadReport::ofOthers)
            .orElse(0);
    double slow = pace.slowRatio(candidate.backend().id(), state.nowMs());
    return slow * (known.inFlight() + others + 1.0) / candidate.backend().slots();
  }

  private static Candidate owner(long prefixHash, List<Candidate> free) {
    Candidate owner = free.get(0);
    long highest = Rendezvous.weight(prefixHash, owner.hash());
    for (Candidate candidate : free) {
      long weight = Rendezvous.weight(prefixHash, candidate.hash());
      if (weight > highest) {
        owner = candidate;
        highest = weight;
      }
    }
    return owner;
  }

  private static Optional<Candidate> withinBound(
      NodeState state, ModelPace pace, Candidate owner, List<Candidate> free) {
    double sum = 0;
    for (Candidate candidate : free) {
      sum += load(state, pace, candidate);
    }
    double slack = 1.0 / owner.backend().slots();
    double bound = LOAD_BOUND * sum / free.size() + slack;
    return load(state, pace, owner) <= bound ? Optional.of(owner) : Optional.empty();
  }
}
