package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.LeaveDuty;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.GatewaySettingsRead;
import org.limpetdoor.core.event.GatewayStarted;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerEvents;
import org.limpetdoor.core.membership.PeerMessage.Leaving;

/** Reduces the regular look at the duty, peers, engines and placement. */
public final class GatewayTick {
  /** Interval of the look and of digests, in milliseconds. */
  static final long INTERVAL_MS = 250;

  private GatewayTick() {}

  /** Notes the settings and begins the regular look. */
  public static Transition<NodeState, Effect> started(NodeState node, GatewayStarted event) {
    return tick(node.withGateway(node.gateway().withSettings(event.settings())));
  }

  /** Applies settings that were read again; open calls keep the terms that they were sent with. */
  public static Transition<NodeState, Effect> settingsRead(
      NodeState node, GatewaySettingsRead event) {
    return Transition.of(node.withGateway(node.gateway().withSettings(event.settings())));
  }

  /** Looks at all that changes with time. */
  public static Transition<NodeState, Effect> tick(NodeState node) {
    Timer next = new Timer(node.nowMs() + INTERVAL_MS, TimerKind.GATEWAY_TICK, "");
    NodeState timed = node.withTimers(node.timers().plus(next));
    NodeState current = Planning.refill(StoreEvents.dropUnlisted(fade(timed)));
    return DutyEvents.tick(current)
        .then(PeerEvents::connect)
        .then(Digests::send)
        .then(Wants::askAgain)
        .then(state -> Planning.plan(EngineOrders.settle(state)));
  }

  /** Gives the duty back at a graceful shutdown, and tells the peers. */
  public static Transition<NodeState, Effect> leave(NodeState node) {
    if (node.gateway().duty().generation() == 0) {
      return Transition.of(node);
    }
    NodeState released =
        node.withGateway(node.gateway().withDuty(node.gateway().duty().released()));
    Transition<NodeState, Effect> result = Transition.of(released, new LeaveDuty());
    for (InstanceId peer : node.gateway().peers().keySet()) {
      result = result.with(new SendToPeer(peer, new Leaving()));
    }
    return result;
  }

  private static NodeState fade(NodeState node) {
    GatewayState state = node.gateway();
    Placement placement = state.placement().faded(INTERVAL_MS, node.nowMs());
    return node.withGateway(state.withPlacement(placement));
  }
}
