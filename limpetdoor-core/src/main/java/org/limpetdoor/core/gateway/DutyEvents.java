package org.limpetdoor.core.gateway;

import java.util.Comparator;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RequestDuty;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;

/** Reduces who holds the placement duty. */
public final class DutyEvents {
  /** Instances that join the group of the duty; more than the largest deployment of today has. */
  private static final int CANDIDATES = 10;

  private DutyEvents() {}

  /** Notes whether the store dealt the duty to this instance. */
  public static Transition<NodeState, Effect> answered(NodeState node, DutyAnswered event) {
    GatewayState state = node.gateway();
    Duty before = state.duty();
    Duty duty = before.answered(event, node.nowMs(), state.settings(), rivalSilent(node));
    boolean begins = duty.held() && duty.heldSinceMs() != before.heldSinceMs();
    Placement placement = begins ? state.placement().unverified() : state.placement();
    NodeState next = node.withGateway(state.withDuty(duty).withPlacement(placement));
    return before.held() == duty.held() && !begins
        ? Transition.of(next)
        : Transition.of(
            next, new RecordDecision(GatewayDecision.duty(duty.held(), duty.fencingNumber())));
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
    long fence = state.duty().fencingNumber();
    Transition<NodeState, Effect> result =
        Transition.of(
            node.withGateway(state.withDuty(state.duty().released())),
            new RecordDecision(GatewayDecision.duty(false, fence)));
    for (InstanceId peer : state.peers().keySet()) {
      result = result.with(new SendToPeer(peer, new DutyReleased(fence)));
    }
    return result;
  }

  /**
   * Hands the duty to a peer at a shutdown, if the store is away and cannot deal it. Engines that
   * check fencing numbers refuse what is left of this instance's orders.
   */
  static Transition<NodeState, Effect> handOn(NodeState node) {
    GatewayState state = node.gateway();
    Optional<InstanceId> successor =
        acts(node) && storeIsAway(node) ? successor(node) : Optional.empty();
    if (successor.isEmpty() || !state.duty().mayBeHandedOn()) {
      return Transition.of(node);
    }
    DutyHandedOver message = new DutyHandedOver(state.duty().fencingNumber() + 1);
    return Transition.of(node, new SendToPeer(successor.get(), message));
  }

  /**
   * Takes the duty over from a peer that shuts down, if the store is away for this instance too.
   */
  static Transition<NodeState, Effect> handed(NodeState node, DutyHandedOver message) {
    GatewayState state = node.gateway();
    boolean newest =
        message.fencingNumber() > state.duty().fencingNumber()
            && message.fencingNumber() > state.duty().rival().fencingNumber();
    if (node.draining() || !newest || !storeIsAway(node)) {
      return Transition.of(node);
    }
    Duty duty = state.duty().handed(message.fencingNumber(), node.nowMs());
    return Transition.of(
        node.withGateway(state.withDuty(duty).withPlacement(state.placement().unverified())),
        new RecordDecision(GatewayDecision.duty(true, duty.fencingNumber())));
  }

  /** Returns the first peer that is heard and does not leave. */
  private static Optional<InstanceId> successor(NodeState node) {
    return node.gateway().peers().keySet().stream()
        .filter(peer -> node.gateway().heard(peer, node.nowMs()))
        .filter(peer -> !node.membership().leaving().contains(peer))
        .min(Comparator.naturalOrder());
  }

  /** Asks the store for the duty, or keeps it. A draining instance lets it go. */
  static Transition<NodeState, Effect> tick(NodeState node) {
    return dropIfLapsed(node).then(DutyEvents::join);
  }

  private static Transition<NodeState, Effect> join(NodeState node) {
    GatewayState state = node.gateway();
    boolean due = node.nowMs() >= state.duty().nextJoinAtMs();
    if (node.draining() || !due || !isCandidate(node)) {
      return Transition.of(node);
    }
    return Transition.of(
        node.withGateway(state.withDuty(state.duty().joining(node.nowMs()))),
        new RequestDuty(state.duty().generation(), Duty.TTL_MS));
  }

  /**
   * Returns whether this instance should hold the duty or be ready to. In a large fleet the first
   * ones by name are enough, and the others spare the store their calls.
   */
  private static boolean isCandidate(NodeState node) {
    long before =
        node.gateway().peers().entrySet().stream()
            .filter(peer -> peer.getValue().usable(node.nowMs()))
            .filter(peer -> peer.getKey().compareTo(node.self().id()) < 0)
            .count();
    return node.gateway().duty().held() || before < CANDIDATES;
  }
}
