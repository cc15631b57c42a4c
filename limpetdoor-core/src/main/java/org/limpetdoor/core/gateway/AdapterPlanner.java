package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.gateway.EngineOrder.Action;
import org.limpetdoor.core.gateway.Placement.ModelRequest;
import org.limpetdoor.core.gateway.ServiceSpec.EngineSpec;

/**
 * Decides, at the holder of the placement duty, on which engines adapters are loaded for calls that
 * wait for them, and which idle adapters make room.
 */
final class AdapterPlanner {
  /** Time since its last call after which an adapter may be evicted, in milliseconds. */
  private static final long ADAPTER_IDLE_MS = 300;

  /**
   * Time after which an adapter that calls wait for replaces one that is not idle, in milliseconds;
   * calls wait for 1 s or longer.
   */
  private static final long MAX_WAIT_MS = 500;

  /** Time since its load for which an adapter that is not idle is kept, in milliseconds. */
  private static final long MIN_TURN_MS = 1_000;

  private AdapterPlanner() {}

  /** Plans for all adapters of a service that calls wait for, the longest wait first. */
  static Transition<NodeState, Effect> planAll(NodeState node, String service, EngineSpec spec) {
    List<ModelKey> waiting =
        node.gateway().placement().modelRequests().entrySet().stream()
            .filter(request -> request.getValue().service().equals(service))
            .filter(request -> request.getKey().adapter().isPresent())
            .sorted(
                Comparator.comparingLong(
                        (Map.Entry<ModelKey, ModelRequest> request) -> request.getValue().sinceMs())
                    .thenComparing(request -> request.getKey().toString()))
            .map(Map.Entry::getKey)
            .toList();
    Transition<NodeState, Effect> result = Transition.of(node);
    for (ModelKey key : waiting) {
      result = result.then(next -> plan(next, service, spec, key));
    }
    return result;
  }

  /** Result of the plan for one adapter. */
  sealed interface Step {
    /** An engine holds the adapter. */
    record Loaded() implements Step {}

    /** An order is to be sent. */
    record Send(EngineState engine, Action action, ModelKey target) implements Step {}

    /** Nothing can be ordered now. */
    record Blocked(PlacementObstacle obstacle) implements Step {}
  }

  /** Plans for one adapter that calls wait for. */
  static Transition<NodeState, Effect> plan(
      NodeState node, String service, EngineSpec spec, ModelKey key) {
    Step step = decide(node, service, spec, key);
    if (step instanceof Step.Send send) {
      return PlacementPlanner.sendOrder(node, send.engine(), send.action(), send.target());
    }
    if (step instanceof Step.Loaded) {
      GatewayState state = node.gateway();
      return Transition.of(
          node.withGateway(state.withPlacement(state.placement().withoutModelRequest(key))));
    }
    return Transition.of(node);
  }

  /** Decides what to order for one adapter that calls wait for. */
  static Step decide(NodeState node, String service, EngineSpec spec, ModelKey key) {
    GatewayState state = node.gateway();
    Placement placement = state.placement();
    if (ModelRequests.isLoaded(state, service, key)) {
      return new Step.Loaded();
    }
    List<EngineState> candidates = new ArrayList<>();
    boolean baseLoaded = false;
    boolean unloading = false;
    for (EngineState engine : state.engines().ofService(service)) {
      OrderSlot slot = placement.slot(engine.entry().id());
      boolean alreadyLoading = slot.loadingAdapters().containsKey(key) || hasOpenOrder(slot, key);
      if (alreadyLoading) {
        return new Step.Blocked(PlacementObstacle.ORDERED);
      }
      if (!engine.usable() || !engine.holds(key.base())) {
        continue;
      }
      baseLoaded = true;
      boolean mayLoadAdapter =
          slot.adapterCount() < spec.adapterCapacity() || slot.unloadingAdapters().isEmpty();
      unloading |= !mayLoadAdapter;
      if (engine.mayReceive(node.nowMs()) && slot.readyForOrder() && mayLoadAdapter) {
        candidates.add(engine);
      }
    }
    if (candidates.isEmpty()) {
      return new Step.Blocked(withoutCandidate(baseLoaded, unloading));
    }
    return engineWithFreePlace(node, candidates, spec)
        .map(engine -> new Step.Send(engine, Action.LOAD, key))
        .or(() -> replaceable(node, candidates, key))
        .<Step>map(send -> send)
        .orElse(new Step.Blocked(PlacementObstacle.ADAPTERS_IN_USE));
  }

  private static Optional<EngineState> engineWithFreePlace(
      NodeState node, List<EngineState> candidates, EngineSpec spec) {
    return candidates.stream()
        .filter(
            engine -> PlacementPlanner.slot(node, engine).adapterCount() < spec.adapterCapacity())
        .min(
            Comparator.comparingDouble(
                engine ->
                    PlacementPlanner.slot(node, engine).adapterCount()
                            / (double) spec.adapterCapacity()
                        + EngineSelector.load(node, engine)));
  }

  /**
   * Returns the order to unload an adapter that makes room: the least recently used one that is
   * idle, or, for an adapter that has waited long enough, the one with the least demand among those
   * that have had their turn.
   */
  private static Optional<Step.Send> replaceable(
      NodeState node, List<EngineState> candidates, ModelKey key) {
    Placement placement = node.gateway().placement();
    List<Step.Send> replaceable = new ArrayList<>();
    for (EngineState engine : candidates) {
      OrderSlot slot = PlacementPlanner.slot(node, engine);
      slot.contents().stream()
          .filter(held -> held.adapter().isPresent() && !slot.loadingAdapters().containsKey(held))
          .filter(held -> !slot.unloadingAdapters().contains(held))
          .forEach(held -> replaceable.add(new Step.Send(engine, Action.UNLOAD, held)));
    }
    Optional<Step.Send> idle =
        replaceable.stream()
            .filter(send -> isIdle(node, send.target()))
            .min(
                Comparator.comparingLong(
                        (Step.Send send) -> placement.demandOf(send.target()).lastCallAtMs())
                    .thenComparing(send -> send.target().toString()));
    ModelRequest request = placement.modelRequests().get(key);
    boolean overdue = request != null && node.nowMs() - request.sinceMs() >= MAX_WAIT_MS;
    if (idle.isPresent() || !overdue) {
      return idle;
    }
    return replaceable.stream()
        .filter(
            send -> node.nowMs() - placement.demandOf(send.target()).loadedAtMs() >= MIN_TURN_MS)
        .min(
            Comparator.comparingDouble(
                    (Step.Send send) -> placement.callsPerS(send.target(), node.nowMs()))
                .thenComparing(send -> send.target().toString()));
  }

  private static boolean isIdle(NodeState node, ModelKey adapter) {
    long lastCallAtMs = node.gateway().placement().demandOf(adapter).lastCallAtMs();
    return !inUse(node, adapter) && node.nowMs() - lastCallAtMs > ADAPTER_IDLE_MS;
  }

  private static PlacementObstacle withoutCandidate(boolean baseLoaded, boolean unloading) {
    if (!baseLoaded) {
      return PlacementObstacle.BASE_MODEL_ABSENT;
    }
    return unloading ? PlacementObstacle.ADAPTERS_UNLOADING : PlacementObstacle.ENGINES_NOT_READY;
  }

  private static boolean hasOpenOrder(OrderSlot slot, ModelKey key) {
    return slot.openOrder().filter(order -> order.target().equals(key)).isPresent();
  }

  /** Returns whether this instance or a peer has calls of an adapter in flight. */
  private static boolean inUse(NodeState node, ModelKey adapter) {
    GatewayState state = node.gateway();
    return state.adaptersInUse().contains(adapter)
        || state.peers().byPeer().values().stream()
            .anyMatch(
                peer ->
                    peer.isRecent(node.nowMs()) && peer.digest().adaptersInUse().contains(adapter));
  }
}
