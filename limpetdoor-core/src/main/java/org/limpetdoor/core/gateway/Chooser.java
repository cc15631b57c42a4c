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
  private static final double MODEL_FILL = 0.85;

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
   * Load by which engines differ for each instance, so that instances which see the same loads do
   * not all pick the same engine.
   */
  private static final double HOME_SPREAD = 0.12;

  private Chooser() {}

  /** What became of a choice. */
  enum Verdict {
    /** An engine was found. */
    CHOSEN,
    /** Engines exist, but all are full. */
    FULL,
    /** No engine holds the model or adapter. */
    NOT_HELD,
    /** The service has no engine that could run the call. */
    NO_ENGINE
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
      if (!call.tried().contains(engine.entry().id())) {
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
      return new Choice(Verdict.NO_ENGINE, Optional.empty(), 0);
    }
    return best(node, call, usable);
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
    EngineState owner = owner(call, candidates);
    EngineState best = null;
    double bestScore = 0;
    for (EngineState engine : candidates) {
      double load = load(node, engine);
      if (load >= fill(call)) {
        continue;
      }
      double score = score(node, call, engine, load, meanLatencyMs, owner);
      if (best == null || score < bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    return best == null
        ? new Choice(Verdict.FULL, Optional.empty(), candidates.size())
        : new Choice(Verdict.CHOSEN, Optional.of(best), candidates.size());
  }

  private static double score(
      NodeState node,
      Call call,
      EngineState engine,
      double load,
      double meanLatencyMs,
      EngineState owner) {
    boolean known = meanLatencyMs > 0 && engine.health().latencyMs() > 0;
    double slowness = known ? engine.health().latencyMs() / meanLatencyMs : 1;
    double perSlot = 1.0 / Math.max(1, engine.entry().slots());
    double score = (load + perSlot) * Math.max(1, Math.min(MAX_SLOWNESS, slowness));
    score += engine.health().failureShare() * FAILURE_COST;
    score += engine.entry().zone().equals(node.self().zone()) ? 0 : REMOTE_COST;
    score -= engine.equals(owner) ? AFFINITY_BONUS : 0;
    score += engine.load().unreadTokens() * UNREAD_COST_PER_TOKEN;
    long home = node.self().id().value().hashCode();
    return score + HOME_SPREAD * fraction(home, engine);
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

  private static double fraction(long call, EngineState engine) {
    long weight = Rendezvous.weight(call, engineHash(engine));
    return (weight >>> 11) * 0x1.0p-53;
  }

  private static long engineHash(EngineState engine) {
    return engine.entry().id().value().hashCode();
  }
}
