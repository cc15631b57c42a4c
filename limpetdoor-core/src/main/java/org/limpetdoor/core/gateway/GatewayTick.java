package org.limpetdoor.core.gateway;

import java.util.Set;
import java.util.stream.Collectors;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.ReleaseDuty;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.GatewaySettingsRead;
import org.limpetdoor.core.event.GatewayStarted;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.Leaving;

/** Reduces the periodic tick, which updates the placement duty, peers, engines and placement. */
public final class GatewayTick {
  /** Interval of the tick and of digests, in milliseconds. */
  static final long INTERVAL_MS = 250;

  private GatewayTick() {}

  /** Applies the settings and starts the periodic tick. */
  public static Transition<NodeState, Effect> started(NodeState node, GatewayStarted event) {
    return tick(node.withGateway(node.gateway().withSettings(event.settings())));
  }

  /**
   * Applies settings that were read again; open calls keep the settings with which they were sent.
   */
  public static Transition<NodeState, Effect> settingsRead(
      NodeState node, GatewaySettingsRead event) {
    return Transition.of(node.withGateway(node.gateway().withSettings(event.settings())));
  }

  /** Updates all state that changes with time. */
  public static Transition<NodeState, Effect> tick(NodeState node) {
    Timer next = new Timer(node.nowMs() + INTERVAL_MS, TimerKind.GATEWAY_TICK, "");
    NodeState timed = node.withTimers(node.timers().plus(next));
    return StoreEvents.dropUnlisted(dropLoadedModels(decayDemand(withListed(timed))))
        .then(state -> DutyEvents.tick(PlacementPlanner.refillLoadTokens(state)))
        .then(FleetEvents::tick)
        .then(FactsEvents::tick)
        .then(Digests::send)
        .then(ModelRequests::requestForWaitingCalls)
        .then(state -> PlacementPlanner.plan(EngineOrders.completeListedChanges(state)))
        .then(state -> WaitingCalls.serve(CapacitySharing.updateLevel(state)))
        .then(WaitingModels::report);
  }

  /**
   * Hands over or releases the duty at a graceful shutdown, and reports the shutdown to the peers.
   */
  public static Transition<NodeState, Effect> leave(NodeState node) {
    if (node.gateway().duty().term().equals(DutyTerm.NONE)) {
      return Transition.of(node);
    }
    Transition<NodeState, Effect> result =
        DutyEvents.handOver(node)
            .then(
                next ->
                    Transition.of(
                        next.withGateway(next.gateway().withDuty(next.gateway().duty().released())),
                        new ReleaseDuty()));
    for (InstanceId peer : node.gateway().peers().names()) {
      result = result.with(new SendToPeer(peer, new Leaving()));
    }
    return result;
  }

  private static NodeState dropLoadedModels(NodeState node) {
    GatewayState state = node.gateway();
    if (state.callTable().absentSinceMs().isEmpty()) {
      return node;
    }
    Set<String> loaded =
        state.engines().byId().values().stream()
            .filter(EngineState::usable)
            .flatMap(engine -> engine.held().stream())
            .map(ModelKey::model)
            .collect(Collectors.toSet());
    return node.withGateway(
        state.withCallTable(
            state.callTable().withoutAbsent(key -> loaded.contains(key.model()), node.nowMs())));
  }

  /** Adapts the shares of the allowances to the number of listed instances. */
  private static NodeState withListed(NodeState node) {
    GatewayState state = node.gateway();
    int listed = node.membership().layout().size();
    return node.withGateway(state.withUsage(state.usage().withListed(listed, node.nowMs())));
  }

  private static NodeState decayDemand(NodeState node) {
    GatewayState state = node.gateway();
    Placement placement = state.placement().decayed(INTERVAL_MS, node.nowMs());
    return node.withGateway(state.withPlacement(placement));
  }
}
