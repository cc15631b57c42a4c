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

  private AdapterPlanner() {}

  /** Plans for all adapters of a service that calls wait for. */
  static Transition<NodeState, Effect> planAll(NodeState node, String service, EngineSpec spec) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (Map.Entry<ModelKey, ModelRequest> request :
        node.gateway().placement().modelRequests().entrySet()) {
      ModelKey key = request.getKey();
      if (request.getValue().service().equals(service) && key.adapter().isPresent()) {
        result = result.then(next -> plan(next, service, spec, key));
      }
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
    Optional<EngineState> chosen =
        candidates.stream()
            .min(
                Comparator.comparingDouble(
                    engine ->
                        PlacementPlanner.slot(node, engine).adapterCount()
                                / (double) spec.adapterCapacity()
                            + EngineSelector.load(node, engine)));
    if (chosen.isEmpty()) {
      return new Step.Blocked(withoutCandidate(baseLoaded, unloading));
    }
    EngineState engine = chosen.get();
    if (PlacementPlanner.slot(node, engine).adapterCount() < spec.adapterCapacity()) {
      return new Step.Send(engine, Action.LOAD, key);
    }
    return idleAdapter(node, engine)
        .<Step>map(idle -> new Step.Send(engine, Action.UNLOAD, idle))
        .orElse(new Step.Blocked(PlacementObstacle.ADAPTERS_IN_USE));
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

  /**
   * Returns the least recently used adapter of an engine, among those that are idle and may be
   * evicted.
   */
  private static Optional<ModelKey> idleAdapter(NodeState node, EngineState engine) {
    Placement placement = node.gateway().placement();
    OrderSlot slot = PlacementPlanner.slot(node, engine);
    return slot.contents().stream()
        .filter(key -> key.adapter().isPresent() && !slot.loadingAdapters().containsKey(key))
        .filter(key -> !slot.unloadingAdapters().contains(key))
        .filter(key -> !inUse(node, key))
        .filter(key -> node.nowMs() - placement.demandOf(key).lastCallAtMs() > ADAPTER_IDLE_MS)
        .min(
            Comparator.comparingLong((ModelKey key) -> placement.demandOf(key).lastCallAtMs())
                .thenComparing(ModelKey::toString));
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
