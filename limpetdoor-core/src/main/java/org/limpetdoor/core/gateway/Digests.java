package org.limpetdoor.core.gateway;

import java.util.HashMap;
import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerLink;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/** Exchanges with peers what each one has in flight and was asked for. */
public final class Digests {
  /** Multiple of the mean time between events from which peers are told that an engine is slow. */
  private static final double SLOW_FACTOR = 1.4;

  private Digests() {}

  /** Sends a digest on all links. */
  static Transition<NodeState, Effect> send(NodeState node) {
    GatewayState state = node.gateway();
    LoadDigest digest =
        new LoadDigest(
            state.version(),
            state.storeReachable(),
            DutyEvents.acts(node) ? state.duty().fencingNumber() : 0,
            inFlight(state),
            gapsMs(node),
            state.adaptersInUse(),
            state.arrivals(),
            state.suspects().unsent());
    Placement placement = state.placement().withArrivals(state.arrivals(), node.nowMs());
    NodeState told =
        node.withGateway(
            state
                .withPlacement(placement)
                .withArrivals(HashTreePMap.empty())
                .withSuspects(state.suspects().told(node.nowMs())));
    Transition<NodeState, Effect> result = Transition.of(told);
    for (Map.Entry<InstanceId, PeerLink> link : node.membership().links().entrySet()) {
      if (link.getValue().established()) {
        result = result.with(new SendToPeer(link.getKey(), digest));
      }
    }
    return result;
  }

  /** Reduces a message of a peer about forwarded calls. */
  public static Transition<NodeState, Effect> received(
      NodeState node, InstanceId peer, PeerMessage message) {
    if (message instanceof LoadDigest digest) {
      return Transition.of(digestReceived(node, peer, digest));
    }
    if (message instanceof LoadedModelChanged changed) {
      return Holdings.told(node, changed);
    }
    if (message instanceof ModelRequested wanted) {
      return Wants.wanted(node, wanted.service(), wanted.key());
    }
    if (message instanceof DutyHandedOver handed) {
      return DutyEvents.handed(node, handed);
    }
    if (message instanceof DutyReleased dropped) {
      GatewayState state = node.gateway();
      return Transition.of(
          node.withGateway(
              state.withDuty(state.duty().rivalLeft(dropped.fencingNumber(), node.nowMs()))));
    }
    return Transition.of(node);
  }

  /** Forgets what a peer that shuts down has in flight, and that it may give orders. */
  public static NodeState peerLeft(NodeState node, InstanceId peer) {
    GatewayState state = node.gateway();
    PeerLoad known = state.peers().get(peer);
    if (known == null) {
      return node;
    }
    return node.withGateway(
        state
            .withPeers(state.peers().minus(peer))
            .withDuty(state.duty().rivalLeft(known.digest().fencingNumber(), node.nowMs())));
  }

  private static NodeState digestReceived(NodeState node, InstanceId peer, LoadDigest digest) {
    GatewayState state = node.gateway();
    GatewayState noted =
        state
            .withPeers(state.peers().plus(peer, PeerLoad.heard(node, digest)))
            .withPlacement(state.placement().withArrivals(digest.arrivals(), node.nowMs()))
            .withSuspects(state.suspects().withPeerLosses(digest.lostEngines(), node.nowMs()));
    Duty duty =
        digest.fencingNumber() > 0
            ? state.duty().rivalHeard(peer, digest.fencingNumber(), node.nowMs())
            : state.duty().rivalCeased(peer, node.nowMs());
    GatewayState rivalled = noted.withDuty(duty);
    boolean known = state.peers().containsKey(peer);
    NodeState next = node.withGateway(rivalled);
    return known ? next : Budgets.resize(next);
  }

  private static PMap<BackendId, Integer> inFlight(GatewayState state) {
    PMap<BackendId, Integer> counts = HashTreePMap.empty();
    for (EngineState engine : state.engines().byId().values()) {
      if (engine.load().inFlight() > 0) {
        counts = counts.plus(engine.entry().id(), engine.load().inFlight());
      }
    }
    return counts;
  }

  /** Returns the engines that are slow now; peers without a stream there learn it so. */
  private static PMap<BackendId, Integer> gapsMs(NodeState node) {
    Map<BackendId, Integer> known = new HashMap<>();
    for (EngineState engine : node.gateway().engines().byId().values()) {
      int gapMs = (int) engine.pace().gapMs(node.nowMs());
      if (gapMs > 0) {
        known.put(engine.entry().id(), gapMs);
      }
    }
    double meanMs = known.values().stream().mapToInt(Integer::intValue).average().orElse(0);
    known.values().removeIf(gapMs -> gapMs < meanMs * SLOW_FACTOR);
    return HashTreePMap.from(known);
  }
}
