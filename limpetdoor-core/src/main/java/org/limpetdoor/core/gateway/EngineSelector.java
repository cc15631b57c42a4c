package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.request.Rendezvous;

/**
 * Selects the engine for a call: the one with the lowest score among the engines of the service
 * that have the model loaded and are not full. Scores are in units of load, as a share of the slots
 * of an engine. The run time is linear in the number of engines of the service.
 */
final class EngineSelector {
  /**
   * Load up to which a model engine receives calls, as a share of its slots. An engine with a full
   * batch preempts streams for more urgent calls, and the load caused by peers is reported with a
   * delay of some hundred milliseconds.
   */
  private static final double MODEL_FILL = 0.95;

  /**
   * Load up to which an engine of a plain service receives calls, as a multiple of its slots. Its
   * requests are short, so a queue drains quickly.
   */
  private static final double PLAIN_FILL = 2.0;

  /** Score penalty of an engine in another zone; a round trip there takes about 8 ms. */
  private static final double REMOTE_COST = 0.04;

  /** Score bonus of the engine that is likely to have the prefix of the prompt cached. */
  private static final double AFFINITY_BONUS = 0.08;

  /** Score penalty of an engine that fails all its calls. */
  private static final double FAILURE_COST = 4;

  /** Upper bound on the factor by which an above-average latency raises the score. */
  private static final double MAX_SLOWNESS = 6;

  /**
   * Score penalty per prompt token that the engine has yet to process. Each of several prompts that
   * arrive together stalls the streams of an engine for about 18 ms, which is weighted like a sixth
   * of its slots.
   */
  private static final double UNREAD_COST_PER_TOKEN = 0.00025;

  /**
   * Score penalty of an engine whose time between stream events equals the limit of the route. An
   * engine slowed down by a neighbouring workload reaches half of the limit by itself, and another
   * prompt then delays its streams beyond it.
   */
  private static final double PAUSE_COST = 1.2;

  /**
   * Score difference between the first and the last engine in the preference order of an instance.
   * It keeps instances that see the same loads from all selecting the same engine.
   */
  private static final double HOME_SPREAD = 0.25;

  /**
   * Number of unprocessed prompt tokens at an engine from which this instance holds further prompts
   * back. An engine processes that many in about 25 ms, a sixth of the pause that callers accept.
   */
  private static final long MAX_UNREAD_TOKENS = 900;

  /**
   * Longest time for which a prompt is held back until engines have processed earlier ones, in
   * milliseconds; a third of the shortest latency objective.
   */
  static final long PACE_MS = 130;

  private EngineSelector() {}

  /** Outcome of a selection. */
  enum Verdict {
    /** An engine was selected. */
    CHOSEN(Reply.NO_ENGINE),
    /** Engines are available for the call, but all are full. */
    FULL(Reply.ENGINES_FULL),
    /** Engines have free slots, but still process earlier prompts of this instance. */
    READING(Reply.ENGINES_FULL),
    /** No engine has the model or adapter loaded. */
    NOT_HELD(Reply.MODEL_ABSENT),
    /** The service has no engine that could run the call. */
    NO_ENGINE(Reply.NO_ENGINE);

    private final Reply refusal;

    Verdict(Reply refusal) {
      this.refusal = refusal;
    }

    /** Returns the reply to a call that has not run and whose wait limit has passed. */
    Reply refusal() {
      return refusal;
    }
  }

  /**
   * Result of a selection.
   *
   * @param verdict outcome
   * @param engine selected engine, if any
   * @param candidates number of engines that were compared
   */
  record Choice(Verdict verdict, Optional<EngineState> engine, int candidates) {}

  static Choice choose(NodeState node, Call call) {
    GatewayState state = node.gateway();
    List<EngineState> usable = new ArrayList<>();
    boolean held = false;
    boolean anyEngine = false;
    for (EngineState engine : state.engines().ofService(call.service())) {
      if (!engine.usable()) {
        continue;
      }
      anyEngine = true;
      if (!holds(engine, call)) {
        continue;
      }
      held = true;
      if (mayTry(node, call, engine)) {
        usable.add(engine);
      }
    }
    if (!anyEngine) {
      return new Choice(Verdict.NO_ENGINE, Optional.empty(), 0);
    }
    if (!held) {
      return new Choice(Verdict.NOT_HELD, Optional.empty(), 0);
    }
    if (usable.isEmpty()) {
      Verdict verdict = call.mayHaveRun() ? Verdict.NO_ENGINE : Verdict.FULL;
      return new Choice(verdict, Optional.empty(), 0);
    }
    return best(node, call, usable);
  }

  /**
   * Returns whether an engine may be used for the call. An engine that was tried before may be
   * tried again if the call has certainly not run and the engine is no longer avoided.
   */
  private static boolean mayTry(NodeState node, Call call, EngineState engine) {
    boolean tried = call.triedEngines().contains(engine.entry().id());
    boolean recovered = engine.health().avoidUntilMs() <= node.nowMs();
    return !tried || (!call.mayHaveRun() && recovered);
  }

  private static Choice best(NodeState node, Call call, List<EngineState> usable) {
    long nowMs = node.nowMs();
    List<EngineState> trusted =
        usable.stream().filter(engine -> engine.health().avoidUntilMs() <= nowMs).toList();
    List<EngineState> candidates = trusted.isEmpty() ? usable : trusted;
    double meanLatencyMs =
        candidates.stream()
            .mapToDouble(engine -> engine.health().latencyMs())
            .filter(ms -> ms > 0)
            .average()
            .orElse(0);
    Terms terms =
        new Terms(meanLatencyMs, owner(call, candidates), EnginePreference.of(node, candidates));
    EngineState best = null;
    double bestScore = 0;
    boolean reading = false;
    for (EngineState engine : candidates) {
      double load = load(node, engine);
      if (load >= fill(call)) {
        continue;
      }
      if (mustPace(node, call, engine)) {
        reading = true;
        continue;
      }
      double score = score(node, engine, load, terms) + pauseCost(node, call, engine);
      if (best == null || score < bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    if (best != null) {
      return new Choice(Verdict.CHOSEN, Optional.of(best), candidates.size());
    }
    return new Choice(
        reading ? Verdict.READING : Verdict.FULL, Optional.empty(), candidates.size());
  }

  /**
   * Inputs of a score that are the same for all candidates.
   *
   * @param meanLatencyMs mean latency of the candidates, in milliseconds; 0 if unknown
   * @param owner engine that is likely to have the prefix of the prompt cached, or null
   * @param home preference order of this instance
   */
  private record Terms(double meanLatencyMs, EngineState owner, EnginePreference home) {}

  /**
   * Returns whether the prompt of a call must be held back. Prompts that an engine processes at the
   * same time stall all its streams, so they are spread over time.
   */
  private static boolean mustPace(NodeState node, Call call, EngineState engine) {
    boolean paced = node.nowMs() < call.arrivedAtMs() + PACE_MS;
    return paced
        && call.spec().model().isPresent()
        && engine.load().unreadTokens() >= MAX_UNREAD_TOKENS;
  }

  private static double score(NodeState node, EngineState engine, double load, Terms terms) {
    double latencyMs = engine.health().latencyMs();
    boolean known = terms.meanLatencyMs() > 0 && latencyMs > 0;
    double slowness = known ? latencyMs / terms.meanLatencyMs() : 1;
    double perSlot = 1.0 / Math.max(1, engine.entry().slots());
    double score = (load + perSlot) * Math.max(1, Math.min(MAX_SLOWNESS, slowness));
    score += engine.health().failureShare() * FAILURE_COST;
    score += engine.entry().zone().equals(node.self().zone()) ? 0 : REMOTE_COST;
    score -= isOwner(engine, terms) ? AFFINITY_BONUS : 0;
    score += engine.load().unreadTokens() * UNREAD_COST_PER_TOKEN;
    return score + HOME_SPREAD * terms.home().distance(engine);
  }

  private static double pauseCost(NodeState node, Call call, EngineState engine) {
    int acceptedMs = call.route().maxGapMs();
    return acceptedMs > 0 ? PAUSE_COST * gapMs(node, engine) / acceptedMs : 0;
  }

  /**
   * Returns the pace of an engine in milliseconds, or 0 if unknown. Observations of this instance
   * take precedence over those reported by peers.
   */
  private static long gapMs(NodeState node, EngineState engine) {
    long nowMs = node.nowMs();
    long own = engine.pace().gapMs(nowMs);
    if (own > 0) {
      return own;
    }
    return node.gateway().peers().values().stream()
        .mapToLong(peer -> peer.gapMs(engine.entry().id(), nowMs))
        .max()
        .orElse(0);
  }

  private static boolean isOwner(EngineState engine, Terms terms) {
    return terms.owner() != null && engine.entry().id().equals(terms.owner().entry().id());
  }

  /** Returns the calls of this instance and its peers at an engine, as a share of its slots. */
  static double load(NodeState node, EngineState engine) {
    int inFlight = engine.load().inFlight();
    for (ReceivedDigest peer : node.gateway().peers().values()) {
      inFlight += peer.inFlight(engine.entry().id(), node.nowMs());
    }
    return (double) inFlight / Math.max(1, engine.entry().slots());
  }

  private static double fill(Call call) {
    return call.spec().model().isPresent() ? MODEL_FILL : PLAIN_FILL;
  }

  private static boolean holds(EngineState engine, Call call) {
    return call.spec().model().map(engine::holds).orElse(true);
  }

  private static EngineState owner(Call call, List<EngineState> candidates) {
    long key = call.spec().affinityHash();
    EngineState owner = null;
    long highest = 0;
    for (EngineState engine : key == 0 ? List.<EngineState>of() : candidates) {
      long weight = Rendezvous.weight(key, engineHash(engine));
      if (owner == null || weight > highest) {
        owner = engine;
        highest = weight;
      }
    }
    return owner;
  }

  private static long engineHash(EngineState engine) {
    return engine.entry().id().value().hashCode();
  }
}
