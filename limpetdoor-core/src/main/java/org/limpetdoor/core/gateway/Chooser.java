package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.request.Rendezvous;

/** Chooses the engine for a call. The cost is bounded by the engines of one service. */
final class Chooser {
  /**
   * Part of the slots of a model engine that is filled. A full batch preempts streams for more
   * urgent calls, and loads are known some hundred milliseconds late.
   */
  private static final double MODEL_FILL = 0.95;

  /** Calls beyond the slots of a plain service; its work is short, so a queue drains fast. */
  private static final double PLAIN_FILL = 2.0;

  /** Load accepted to stay in the zone; a round trip to another zone takes about 8 ms. */
  private static final double REMOTE_COST = 0.04;

  /** Load accepted to reach the engine that keeps the start of the prompt. */
  private static final double AFFINITY_BONUS = 0.08;

  /** Load that an engine that fails all its calls counts as. */
  private static final double FAILURE_COST = 4;

  /** Largest factor by which slow answers raise the load of an engine. */
  private static final double MAX_SLOWNESS = 6;

  /**
   * Load that a prompt token counts as that the engine has not read. Prompts that arrive together
   * hold the streams of an engine up for about 18 ms each, which counts as a sixth of its slots.
   */
  private static final double UNREAD_COST_PER_TOKEN = 0.00025;

  /**
   * Load that an engine counts as whose streams pause as long as callers accept. One that a
   * neighbour slows needs half of that without a new prompt, and a prompt makes its streams late.
   */
  private static final double PAUSE_COST = 1.2;

  /**
   * Load by which engines differ for each instance, so that instances which see the same loads do
   * not all pick the same engine.
   */
  private static final double HOME_SPREAD = 0.25;

  /**
   * Prompt tokens sent to an engine and not read from which it gets no more from this instance for
   * a while. An engine reads them in about 25 ms, a sixth of the pause that callers accept.
   */
  private static final long MAX_UNREAD_TOKENS = 900;

  /** Longest wait for an engine to read, in milliseconds; a third of the shortest objective. */
  static final long PACE_MS = 130;

  private Chooser() {}

  /** What became of a choice. */
  enum Verdict {
    /** An engine was found. */
    CHOSEN(Reply.NO_ENGINE),
    /** Engines exist, but all are full. */
    FULL(Reply.ENGINES_FULL),
    /** Engines have room, but still read prompts of this instance. */
    READING(Reply.ENGINES_FULL),
    /** No engine holds the model or adapter. */
    NOT_HELD(Reply.MODEL_ABSENT),
    /** The service has no engine that could run the call. */
    NO_ENGINE(Reply.NO_ENGINE);

    private final Reply refusal;

    Verdict(Reply refusal) {
      this.refusal = refusal;
    }

    /** Returns what a caller is told whose call has not run and may wait no longer. */
    Reply refusal() {
      return refusal;
    }
  }

  /**
   * Result of a choice.
   *
   * @param verdict what became of it
   * @param engine the engine, if one was chosen
   * @param candidates engines that could have taken the call
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

  /** An engine that refused a call without running it may be asked again after a while. */
  private static boolean mayTry(NodeState node, Call call, EngineState engine) {
    boolean tried = call.tried().contains(engine.entry().id());
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
    Terms terms = new Terms(meanLatencyMs, owner(call, candidates), Home.of(node, candidates));
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
   * What a score depends on besides the engine.
   *
   * @param meanLatencyMs mean latency of the candidates
   * @param owner engine that keeps the start of the prompt, or null
   * @param home engines in the order in which this instance prefers them
   */
  private record Terms(double meanLatencyMs, EngineState owner, Home home) {}

  /** Prompts that an engine reads at once hold up all its streams, so they are sent one by one. */
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

  /** Returns the time between events of an engine's streams, as own or else peers' streams show. */
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

  /** Returns the load of an engine from own and peers' calls, as a share of its slots. */
  static double load(NodeState node, EngineState engine) {
    int inFlight = engine.load().inFlight();
    for (PeerLoad peer : node.gateway().peers().values()) {
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
