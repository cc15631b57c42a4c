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
import org.limpetdoor.core.event.RoutesRead.Source;
import org.limpetdoor.core.event.SuspensionSuspected;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;

/** Reduces events about which instance holds the placement duty. */
public final class DutyEvents {
  /** Maximum number of hubs that request the duty from the store. */
  private static final int MAX_CANDIDATES = 10;

  private DutyEvents() {}

  /**
   * Applies the response of the store to a request, and records a decision if this instance gained
   * or lost the duty.
   */
  public static Transition<NodeState, Effect> answered(NodeState node, DutyAnswered event) {
    GatewayState state = node.gateway();
    Duty previous = state.duty();
    Duty duty =
        previous.withStoreResponse(event, node.nowMs(), state.settings(), otherHolderSilent(node));
    boolean granted = duty.held() && duty.heldSinceMs() != previous.heldSinceMs();
    Placement placement = granted ? state.placement().unverified() : state.placement();
    NodeState next = node.withGateway(state.withDuty(duty).withPlacement(placement));
    return previous.held() == duty.held() && !granted
        ? Transition.of(next)
        : Transition.of(
            next, new RecordDecision(GatewayDecision.duty(duty.held(), duty.fencingNumber())));
  }

  /**
   * Stops sending orders after a possible suspension, in which another instance may have been
   * granted the duty. Engines that do not check fencing numbers would carry the orders out.
   */
  public static Transition<NodeState, Effect> suspensionSuspected(
      NodeState node, SuspensionSuspected event) {
    GatewayState state = node.gateway();
    if (!state.duty().held()) {
      return Transition.of(node);
    }
    long fencingNumber = state.duty().fencingNumber();
    return Transition.of(
        node.withGateway(state.withDuty(state.duty().afterSuspension(node.nowMs()))),
        new RecordDecision(GatewayDecision.duty(false, fencingNumber)));
  }

  /**
   * Returns whether this instance may send orders now. While the store answers none of the
   * instances in contact, it cannot grant the duty to another instance, so the holder continues.
   * Engines that check fencing numbers protect against instances that are not in contact.
   */
  static boolean maySendOrders(NodeState node) {
    Duty duty = node.gateway().duty();
    return duty.maySendOrders(node.nowMs())
        || (duty.mayContinueWithoutStore(node.nowMs()) && storeUnreachable(node));
  }

  private static boolean storeUnreachable(NodeState node) {
    GatewayState state = node.gateway();
    return state.settings().fencingEnforced()
        && !state.storeReachable()
        && state.peers().byPeer().values().stream()
            .filter(peer -> peer.isRecent(node.nowMs()))
            .noneMatch(peer -> peer.digest().facts().storeReachable());
  }

  /**
   * Returns whether the previous holder has stopped sending digests, because it has failed or is
   * cut off.
   */
  private static boolean otherHolderSilent(NodeState node) {
    GatewayState state = node.gateway();
    return state
        .duty()
        .otherHolder()
        .peer()
        .map(peer -> !state.hasRecentDigest(peer, node.nowMs()))
        .orElse(false);
  }

  /**
   * Releases an expired duty and reports that to the peers, unless the store answers no instance.
   */
  private static Transition<NodeState, Effect> releaseIfExpired(NodeState node) {
    GatewayState state = node.gateway();
    if (!state.duty().expired(node.nowMs()) || storeUnreachable(node)) {
      return Transition.of(node);
    }
    long fencingNumber = state.duty().fencingNumber();
    Transition<NodeState, Effect> result =
        Transition.of(
            node.withGateway(state.withDuty(state.duty().released())),
            new RecordDecision(GatewayDecision.duty(false, fencingNumber)));
    for (InstanceId peer : state.peers().names()) {
      result = result.with(new SendToPeer(peer, new DutyReleased(fencingNumber)));
    }
    return result;
  }

  /**
   * Hands the duty over to a peer at a shutdown, if the store is unreachable and cannot grant it.
   * Engines that check fencing numbers refuse the remaining orders of this instance.
   */
  static Transition<NodeState, Effect> handOver(NodeState node) {
    GatewayState state = node.gateway();
    Optional<InstanceId> successor =
        maySendOrders(node) && storeUnreachable(node) ? successor(node) : Optional.empty();
    if (successor.isEmpty() || !state.duty().mayBeHandedOver()) {
      return Transition.of(node);
    }
    DutyHandedOver message = new DutyHandedOver(state.duty().fencingNumber() + 1);
    return Transition.of(node, new SendToPeer(successor.get(), message));
  }

  /**
   * Takes over the duty from a peer that shuts down, if the store is unreachable for this instance
   * too and the fencing number is higher than all known ones.
   */
  static Transition<NodeState, Effect> handoverReceived(NodeState node, DutyHandedOver message) {
    return EraEvents.learned(node, DutyTerm.of(message.fencingNumber()).era(), Source.PEER)
        .then(next -> handedOver(next, message));
  }

  private static Transition<NodeState, Effect> handedOver(NodeState node, DutyHandedOver message) {
    GatewayState state = node.gateway();
    boolean newest =
        message.fencingNumber() > state.duty().fencingNumber()
            && message.fencingNumber() > state.duty().otherHolder().fencingNumber();
    if (node.draining() || !newest || !storeUnreachable(node)) {
      return Transition.of(node);
    }
    Duty duty = state.duty().withHandover(message.fencingNumber(), node.nowMs());
    return Transition.of(
        node.withGateway(state.withDuty(duty).withPlacement(state.placement().unverified())),
        new RecordDecision(GatewayDecision.duty(true, duty.fencingNumber())));
  }

  /** Returns the first hub by name that has sent a digest recently and is not leaving. */
  private static Optional<InstanceId> successor(NodeState node) {
    PeerLoads peers = node.gateway().peers();
    return peers.names().stream()
        .filter(peer -> peers.isHub(peer) && peers.hasRecent(peer, node.nowMs()))
        .filter(peer -> !node.membership().leaving().contains(peer))
        .min(Comparator.naturalOrder());
  }

  /**
   * Releases an expired duty, and sends the store a request if one is due. A draining instance
   * sends none.
   */
  static Transition<NodeState, Effect> tick(NodeState node) {
    return releaseIfExpired(node).then(DutyEvents::requestIfDue);
  }

  private static Transition<NodeState, Effect> requestIfDue(NodeState node) {
    GatewayState state = node.gateway();
    boolean due = node.nowMs() >= state.duty().nextRequestAtMs();
    if (node.draining() || !due || !isCandidate(node)) {
      return Transition.of(node);
    }
    return Transition.of(
        node.withGateway(state.withDuty(state.duty().withRequestSent(node.nowMs()))),
        new RequestDuty(state.duty().term().generation(), Duty.TTL_MS));
  }

  /**
   * Returns whether this instance should hold the duty or be ready to take it. Only hubs are
   * candidates, because they know the demand of the whole fleet, and of them only the first by
   * name, which limits the number of requests to the store.
   */
  private static boolean isCandidate(NodeState node) {
    GatewayState state = node.gateway();
    long precedingHubs =
        state.peers().names().stream()
            .filter(state.peers()::isHub)
            .filter(peer -> state.peers().hasRecent(peer, node.nowMs()))
            .filter(peer -> peer.compareTo(node.self().id()) < 0)
            .count();
    return state.fleet().isHub() && (state.duty().held() || precedingHubs < MAX_CANDIDATES);
  }
}
