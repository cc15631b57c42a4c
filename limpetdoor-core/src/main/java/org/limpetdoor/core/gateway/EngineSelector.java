package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.decision.FailureCause;
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
  private static final double MAX_MODEL_LOAD = 0.95;

  /**
   * Load up to which an engine of a plain service receives calls, as a multiple of its slots. Its
   * requests are short, so a queue drains quickly.
   */
  private static final double MAX_PLAIN_LOAD = 2.0;

  /** Score penalty of an engine in another zone; a round trip there takes about 8 ms. */
  private static final double CROSS_ZONE_COST = 0.04;

  /** Score bonus of the engine that is likely to have the prefix of the prompt cached. */
  private static final double AFFINITY_BONUS = 0.08;

  /** Score penalty of an engine that fails all its calls. */
  private static final double FAILURE_COST = 4;

  /** Upper bound on the factor by which an above-average latency raises the score. */
  private static final double MAX_LATENCY_FACTOR = 6;

  /**
   * Score penalty per prompt token that the engine has yet to process. Each of several prompts that
   * arrive together stalls the streams of an engine for about 18 ms, which is weighted like a sixth
   * of its slots.
   */
  private static final double PENDING_PROMPT_TOKEN_COST = 0.00025;

  /**
   * Score penalty of an engine whose time between stream events equals the limit of the route. An
   * engine slowed down by a neighbouring workload reaches half of the limit by itself, and another
   * prompt then delays its streams beyond the limit.
   */
  private static final double STREAM_GAP_COST = 1.2;

  /**
   * Score difference between the first and the last engine in the preference order of an instance.
   * It keeps instances that see the same loads from all selecting the same engine.
   */
  private static final double PREFERENCE_SPREAD = 0.25;

  /**
   * Number of unprocessed prompt tokens at an engine from which this instance holds further prompts
   * back. An engine processes that many in about 25 ms, a sixth of the pause that callers accept.
   */
  private static final long MAX_PENDING_PROMPT_TOKENS = 900;

  /**
   * Longest time for which a prompt is held back until engines have processed earlier ones, in
   * milliseconds; a third of the shortest latency objective.
   */
  static final long MAX_PROMPT_PACING_MS = 130;

  private EngineSelector() {}

  /** Outcome of a selection. */
  enum Verdict {
    /** An engine was selected. */
    CHOSEN(Reply.NO_ENGINE, FailureCause.NO_ENGINE),
    /** Engines are available for the call, but all are full. */
    FULL(Reply.ENGINES_FULL, FailureCause.ENGINES_FULL),
    /** Engines are available for the call, but all of them accept no requests for a while. */
    CLOSED(Reply.ENGINES_CLOSED, FailureCause.ENGINES_CLOSED),
    /** Engines have free slots, but still process earlier prompts of this instance. */
    PROMPT_HELD_BACK(Reply.ENGINES_FULL, FailureCause.ENGINES_FULL),
    /** The call has a content that crashes engines. */
    REQUEST_BANNED(Reply.CRASH_SUSPECT, FailureCause.REQUEST_BANNED),
    /** The call has not run, and would be interrupted by the end of the instance. */
    SHUTTING_DOWN(Reply.SHUTTING_DOWN, FailureCause.SHUTTING_DOWN),
    /** The call needs a retry, and the retry budget is empty. */
    RETRY_BUDGET_EMPTY(Reply.ENGINES_FULL, FailureCause.RETRY_BUDGET_EMPTY),
    /** No engine has the model or adapter loaded. */
    MODEL_NOT_LOADED(Reply.MODEL_ABSENT, FailureCause.MODEL_NOT_LOADED),
    /** All engines that could run the call may have run it already. */
    NO_UNTRIED_ENGINE(Reply.NO_ENGINE, FailureCause.NO_UNTRIED_ENGINE),
    /** The service has no usable engine. */
    NO_ENGINE(Reply.NO_ENGINE, FailureCause.NO_ENGINE);

    private final Reply refusal;
    private final FailureCause cause;

    Verdict(Reply refusal, FailureCause cause) {
      this.refusal = refusal;
      this.cause = cause;
    }

    /** Returns whether an engine may become available for the call while it waits. */
    boolean mayChange() {
      return this != NO_UNTRIED_ENGINE && this != NO_ENGINE && !refusesCall();
    }

    /** Returns whether the call may not be sent to any engine, whichever are available. */
    boolean refusesCall() {
      return this == REQUEST_BANNED || this == SHUTTING_DOWN;
    }

    /** Returns why a call that gets no engine fails. */
    FailureCause cause() {
      return cause;
    }

    /** Returns the reply to a call that has not run and whose wait deadline has passed. */
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
   * @param opensAtMs time at which the first engine accepts requests, in monotonic milliseconds, if
   *     the verdict is {@link Verdict#CLOSED}; otherwise {@link Timed#NEVER_MS}
   */
  record Choice(Verdict verdict, Optional<EngineState> engine, int candidates, long opensAtMs) {
    private static Choice chosen(EngineState engine, int candidates) {
      return new Choice(Verdict.CHOSEN, Optional.of(engine), candidates, Timed.NEVER_MS);
    }

    private static Choice none(Verdict verdict, int candidates) {
      return new Choice(verdict, Optional.empty(), candidates, Timed.NEVER_MS);
    }

    private static Choice closedUntil(long opensAtMs) {
      return new Choice(Verdict.CLOSED, Optional.empty(), 0, opensAtMs);
    }
  }

  static Choice choose(NodeState node, Call call) {
    GatewayState state = node.gateway();
    if (state.crashRecords().bannedContent(call.spec(), node.nowMs()).isPresent()) {
      return Choice.none(Verdict.REQUEST_BANNED, 0);
    }
    if (node.nowMs() >= state.acceptsUntilMs() && !call.mayHaveRun()) {
      return Choice.none(Verdict.SHUTTING_DOWN, 0);
    }
    if (call.retryDue() && !CallSteps.budget(node, call.service()).allowsRetry()) {
      return Choice.none(Verdict.RETRY_BUDGET_EMPTY, 0);
    }
    List<EngineState> available = new ArrayList<>();
    boolean modelLoaded = false;
    boolean anyEngine = false;
    boolean recovering = false;
    long opensAtMs = Timed.NEVER_MS;
    for (EngineState engine : state.engines().ofService(call.service())) {
      if (!engine.usable()) {
        continue;
      }
      anyEngine = true;
      if (!holds(engine, call)) {
        continue;
      }
      modelLoaded = true;
      if (call.ranAt().contains(engine.entry().id())) {
        continue;
      }
      if (!engine.mayReceive(node.nowMs())) {
        opensAtMs = Math.min(opensAtMs, engine.stated().closedUntilMs());
      } else if (mayAttempt(node, call, engine)) {
        available.add(engine);
      } else {
        recovering = true;
      }
    }
    if (!anyEngine) {
      return Choice.none(Verdict.NO_ENGINE, 0);
    }
    if (!modelLoaded) {
      return Choice.none(Verdict.MODEL_NOT_LOADED, 0);
    }
    if (!available.isEmpty()) {
      return chooseBest(node, call, available);
    }
    if (recovering) {
      return Choice.none(Verdict.FULL, 0);
    }
    return opensAtMs == Timed.NEVER_MS
        ? Choice.none(Verdict.NO_UNTRIED_ENGINE, 0)
        : Choice.closedUntil(opensAtMs);
  }

  /**
   * Returns whether an engine that has certainly not run the call may be used for it. One that was
   * tried before may be tried again if it is no longer avoided.
   */
  private static boolean mayAttempt(NodeState node, Call call, EngineState engine) {
    boolean triedBefore = call.triedEngines().contains(engine.entry().id());
    boolean recovered = engine.health().avoidUntilMs() <= node.nowMs();
    return !triedBefore || recovered;
  }

  private static Choice chooseBest(NodeState node, Call call, List<EngineState> available) {
    long nowMs = node.nowMs();
    List<EngineState> healthy =
        available.stream().filter(engine -> engine.health().avoidUntilMs() <= nowMs).toList();
    List<EngineState> candidates = healthy.isEmpty() ? available : healthy;
    Verdict unavailable = Verdict.FULL;
    List<EngineState> free = new ArrayList<>();
    boolean reserve = CapacitySharing.leavesReserve(node, call);
    for (EngineState engine : candidates) {
      double reserved = reserve ? 1.0 / Math.max(1, engine.entry().slots()) : 0;
      if (load(node, engine) >= maxLoad(call) - reserved || engine.health().fullUntilMs() > nowMs) {
        continue;
      }
      if (mustHoldBack(node, call, engine)) {
        unavailable = Verdict.PROMPT_HELD_BACK;
        continue;
      }
      free.add(engine);
    }
    if (free.isEmpty()) {
      return Choice.none(unavailable, candidates.size());
    }
    ScoreInputs inputs =
        new ScoreInputs(
            meanLatencyMs(candidates),
            affinityEngine(call, candidates),
            EnginePreference.of(node, candidates));
    EngineState best = null;
    double bestScore = 0;
    for (EngineState engine : free) {
      double score =
          score(node, engine, load(node, engine), inputs) + streamGapCost(node, call, engine);
      if (best == null || score < bestScore) {
        best = engine;
        bestScore = score;
      }
    }
    return Choice.chosen(best, candidates.size());
  }

  private static double meanLatencyMs(List<EngineState> candidates) {
    return candidates.stream()
        .mapToDouble(engine -> engine.health().latencyMs())
        .filter(ms -> ms > 0)
        .average()
        .orElse(0);
  }

  /**
   * Inputs of a score that are the same for all candidates.
   *
   * @param meanLatencyMs mean latency of the candidates, in milliseconds; 0 if unknown
   * @param affinityEngine engine that is likely to have the prefix of the prompt cached, or null
   * @param preference preference order of this instance
   */
  private record ScoreInputs(
      double meanLatencyMs, EngineState affinityEngine, EnginePreference preference) {}

  /**
   * Returns whether the prompt of a call must be held back. Prompts that an engine processes at the
   * same time stall all its streams, so they are spread over time.
   */
  private static boolean mustHoldBack(NodeState node, Call call, EngineState engine) {
    boolean withinPacing = node.nowMs() < call.arrivedAtMs() + MAX_PROMPT_PACING_MS;
    return withinPacing
        && call.spec().model().isPresent()
        && engine.load().pendingPromptTokens() >= MAX_PENDING_PROMPT_TOKENS;
  }

  private static double score(NodeState node, EngineState engine, double load, ScoreInputs inputs) {
    double latencyMs = engine.health().latencyMs();
    boolean comparable = inputs.meanLatencyMs() > 0 && latencyMs > 0;
    double latencyFactor = comparable ? latencyMs / inputs.meanLatencyMs() : 1;
    double loadPerCall = 1.0 / Math.max(1, engine.entry().slots());
    double score = (load + loadPerCall) * Math.max(1, Math.min(MAX_LATENCY_FACTOR, latencyFactor));
    score += engine.health().failureShare() * FAILURE_COST;
    score += engine.entry().zone().equals(node.self().zone()) ? 0 : CROSS_ZONE_COST;
    score -= isAffinityEngine(engine, inputs) ? AFFINITY_BONUS : 0;
    score += engine.load().pendingPromptTokens() * PENDING_PROMPT_TOKEN_COST;
    return score + PREFERENCE_SPREAD * inputs.preference().distanceFromFirst(engine);
  }

  private static double streamGapCost(NodeState node, Call call, EngineState engine) {
    int acceptedMs = call.route().maxGapMs();
    return acceptedMs > 0 ? STREAM_GAP_COST * gapMs(node, engine) / acceptedMs : 0;
  }

  /**
   * Returns the time between stream events of an engine, in milliseconds, or 0 if unknown.
   * Observations of this instance take precedence over those reported by peers.
   */
  private static long gapMs(NodeState node, EngineState engine) {
    long nowMs = node.nowMs();
    long ownGapMs = engine.pace().gapMs(nowMs);
    if (ownGapMs > 0) {
      return ownGapMs;
    }
    return node.gateway().peers().gapMs(engine.entry().id());
  }

  private static boolean isAffinityEngine(EngineState engine, ScoreInputs inputs) {
    return inputs.affinityEngine() != null
        && engine.entry().id().equals(inputs.affinityEngine().entry().id());
  }

  /** Returns the calls of this instance and its peers at an engine, as a share of its slots. */
  static double load(NodeState node, EngineState engine) {
    int inFlight = engine.load().inFlight() + node.gateway().peers().inFlight(engine.entry().id());
    return (double) inFlight / Math.max(1, engine.entry().slots());
  }

  private static double maxLoad(Call call) {
    return call.spec().model().isPresent() ? MAX_MODEL_LOAD : MAX_PLAIN_LOAD;
  }

  private static boolean holds(EngineState engine, Call call) {
    return call.spec().model().map(engine::holds).orElse(true);
  }

  private static EngineState affinityEngine(Call call, List<EngineState> candidates) {
    long key = call.spec().affinityHash();
    EngineState affinityEngine = null;
    long highestWeight = 0;
    for (EngineState engine : key == 0 ? List.<EngineState>of() : candidates) {
      long weight = Rendezvous.weight(key, engineHash(engine));
      if (affinityEngine == null || weight > highestWeight) {
        affinityEngine = engine;
        highestWeight = weight;
      }
    }
    return affinityEngine;
  }

  private static long engineHash(EngineState engine) {
    return engine.entry().id().value().hashCode();
  }
}
