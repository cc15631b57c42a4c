package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.JoinDuty;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.DutyDropped;

/** Reduces who holds the placement duty. */
public final class DutyEvents {
  private DutyEvents() {}

  /** Notes whether the store dealt the duty to this instance. */
  public static Transition<NodeState, Effect> answered(NodeState node, DutyAnswered event) {
    GatewayState state = node.gateway();
    Duty before = state.duty();
    Duty duty = before.answered(event, node.nowMs(), state.settings().leaseMs(), rivalSilent(node));
    boolean begins = duty.held() && duty.heldSinceMs() != before.heldSinceMs();
    Placement placement = begins ? state.placement().unverified() : state.placement();
    NodeState next = node.withGateway(state.withDuty(duty).withPlacement(placement));
    return before.held() == duty.held() && !begins
        ? Transition.of(next)
        : Transition.of(
            next, new RecordDecision(GatewayDecision.duty(duty.held(), duty.generation())));
  }

  /**
   * Returns whether this instance may give orders now. While the store answers nobody that is
   * heard, it cannot deal the duty to another instance, so the holder goes on; engines that check
   * fencing numbers cover instances that are not heard.
   */
  static boolean acts(NodeState node) {
    Duty duty = node.gateway().duty();
    return duty.acts(node.nowMs()) || (duty.maySurvive(node.nowMs()) && storeIsAway(node));
  }

  private static boolean storeIsAway(NodeState node) {
    GatewayState state = node.gateway();
    return state.settings().fencingEnforced()
        && !state.storeReachable()
        && state.peers().values().stream()
            .filter(peer -> peer.usable(node.nowMs()))
            .noneMatch(peer -> peer.digest().storeReachable());
  }

  /** Returns whether the holder before is heard no more, so that it has failed or is cut off. */
  private static boolean rivalSilent(NodeState node) {
    GatewayState state = node.gateway();
    return state.duty().rival().peer().map(peer -> !state.heard(peer, node.nowMs())).orElse(false);
  }

  /** Tells the peers that this instance gives no orders, if the store has ceased to answer it. */
  private static Transition<NodeState, Effect> dropIfLapsed(NodeState node) {
    GatewayState state = node.gateway();
    if (!state.duty().lapsed(node.nowMs()) || storeIsAway(node)) {
      return Transition.of(node);
    }
    long fence = state.duty().generation();
    Transition<NodeState, Effect> result =
        Transition.of(
            node.withGateway(state.withDuty(state.duty().released())),
            new RecordDecision(GatewayDecision.duty(false, fence)));
    for (InstanceId peer : state.peers().keySet()) {
      result = result.with(new SendToPeer(peer, new DutyDropped(fence)));
    }
    return result;
  }

  /** Asks the store for the duty, or keeps it. A draining instance lets it go. */
  static Transition<NodeState, Effect> tick(NodeState node) {
    return dropIfLapsed(node).then(DutyEvents::join);
  }

  private static Transition<NodeState, Effect> join(NodeState node) {
    GatewayState state = node.gateway();
    if (node.draining() || node.nowMs() < state.duty().nextJoinAtMs()) {
      return Transition.of(node);
    }
    return Transition.of(
        node.withGateway(state.withDuty(state.duty().joining(node.nowMs()))),
        new JoinDuty(state.duty().generation(), Duty.TTL_MS));
  }
}
