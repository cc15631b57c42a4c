package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.FleetRole;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.FactsRequested;
import org.limpetdoor.core.membership.PeerMessage.InstancesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;
import org.limpetdoor.core.membership.PeerMessage.RoutesPassedOn;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Exchanges load digests with the peers: calls in flight, demand for models, slow engines, and who
 * holds the placement duty.
 */
public final class Digests {
  /** Interval of digests that report no change, or pass between hub and spoke, in milliseconds. */
  private static final long UNCHANGED_INTERVAL_MS = 2 * GatewayTick.INTERVAL_MS;

  private Digests() {}

  /**
   * Sends a digest to each hub and spoke of a hub, or to the hub of a spoke, if it is due. Calls of
   * models are counted on until a digest has reported them.
   */
  static Transition<NodeState, Effect> send(NodeState node) {
    GatewayState state = node.gateway();
    DigestWriter writer = DigestWriter.of(node);
    PMap<InstanceId, LoadDigest> sentDigests = HashTreePMap.empty();
    List<Effect> messages = new ArrayList<>();
    boolean arrivalsKept = false;
    for (Map.Entry<InstanceId, DigestScope> receiver : receivers(node).entrySet()) {
      LoadDigest digest = writer.write(receiver.getKey(), receiver.getValue());
      LoadDigest previous = state.fleet().sent().get(receiver.getKey());
      boolean due = previous == null || isDue(state, previous, digest, node.nowMs());
      sentDigests = sentDigests.plus(receiver.getKey(), due ? digest : previous);
      if (due) {
        messages.add(new SendToPeer(receiver.getKey(), digest));
      } else {
        arrivalsKept = arrivalsKept || !digest.arrivals().isEmpty();
      }
    }
    GatewayState sent =
        state
            .withFleet(state.fleet().withSent(sentDigests))
            .withCrashRecords(state.crashRecords().withoutExpired(node.nowMs()));
    GatewayState reported =
        arrivalsKept
            ? sent
            : sent.withPlacement(sent.placement().withArrivals(state.arrivals(), node.nowMs()))
                .withArrivals(HashTreePMap.empty());
    return Transition.<NodeState, Effect>of(node.withGateway(reported)).withAll(messages);
  }

  /**
   * Returns whether a digest is sent now. A receiver that would learn nothing new gets one only as
   * often as it must to know that this instance is live. Between a hub and its spokes, which
   * exchange most of the digests of a fleet, changes are collected for as long.
   */
  private static boolean isDue(
      GatewayState state, LoadDigest previous, LoadDigest next, long nowMs) {
    boolean overdue = nowMs - previous.times().sentAtMs() >= UNCHANGED_INTERVAL_MS;
    boolean betweenHubs = next.scope() == DigestScope.GROUP;
    boolean urgent = !next.crashReports().isEmpty() || next.scope() != previous.scope();
    boolean changed =
        !next.saysTheSameAs(previous) || state.usage().hasMoved(previous.use(), next.use());
    return overdue || urgent || (betweenHubs && changed);
  }

  private static Map<InstanceId, DigestScope> receivers(NodeState node) {
    GatewayState state = node.gateway();
    Map<InstanceId, DigestScope> receivers = new LinkedHashMap<>();
    state.fleet().hub().ifPresent(hub -> receivers.put(hub, DigestScope.INSTANCE));
    state.fleet().hubs().forEach(hub -> receivers.put(hub, DigestScope.GROUP));
    if (state.fleet().isHub()) {
      for (InstanceId peer : state.peers().names()) {
        receivers.put(peer, state.peers().isSpoke(peer) ? DigestScope.FLEET : DigestScope.GROUP);
      }
    }
    receivers.keySet().removeIf(peer -> !node.membership().link(peer).established());
    return receivers;
  }

  /**
   * Reduces a message from a peer about load, loaded models, model requests or the placement duty.
   */
  public static Transition<NodeState, Effect> received(
      NodeState node, InstanceId peer, PeerMessage message) {
    if (message instanceof LoadDigest digest) {
      return digestReceived(node, peer, digest);
    }
    if (message instanceof LoadedModelChanged changed) {
      return LoadedModelEvents.received(node, peer, changed);
    }
    if (message instanceof ModelRequested request) {
      return ModelRequests.received(node, peer, request);
    }
    if (message instanceof FactsRequested request) {
      return FactsEvents.requested(node, peer, request);
    }
    if (message instanceof RoutesPassedOn
        || message instanceof EnginesPassedOn
        || message instanceof InstancesPassedOn) {
      return FactsEvents.received(node, peer, message);
    }
    if (message instanceof DutyHandedOver handover) {
      return DutyEvents.handoverReceived(node, handover);
    }
    if (message instanceof DutyReleased released) {
      GatewayState state = node.gateway();
      return Transition.of(
          node.withGateway(
              state.withDuty(
                  state.duty().withOtherHolderStopped(released.fencingNumber(), node.nowMs()))));
    }
    return Transition.of(node);
  }

  /** Removes the load of a peer that shuts down, and records that it sends no more orders. */
  public static NodeState peerLeft(NodeState node, InstanceId peer) {
    GatewayState state = node.gateway();
    ReceivedDigest last = state.peers().byPeer().get(peer);
    if (last == null) {
      return node;
    }
    return node.withGateway(
        state
            .withPeers(state.peers().without(peer), node.nowMs())
            .withDuty(
                state.duty().withOtherHolderStopped(last.digest().fencingNumber(), node.nowMs())));
  }

  /**
   * Records a digest of a peer whose instances this one counts. A digest of the hub replaces those
   * of earlier hubs, since each of them covers the whole fleet.
   */
  private static Transition<NodeState, Effect> digestReceived(
      NodeState node, InstanceId peer, LoadDigest digest) {
    return EraEvents.digestReceived(node, digest).then(next -> digestRecorded(next, peer, digest));
  }

  private static Transition<NodeState, Effect> digestRecorded(
      NodeState node, InstanceId peer, LoadDigest digest) {
    GatewayState state = node.gateway();
    boolean isHub = state.fleet().isHub();
    boolean ofSpoke = digest.scope() == DigestScope.INSTANCE;
    boolean counted =
        ofSpoke || (isHub ? digest.scope().countsFor(FleetRole.HUB) : state.fleet().isOwnHub(peer));
    if (!counted) {
      return Transition.of(node);
    }
    PeerLoads peers = isHub || ofSpoke ? state.peers() : PeerLoads.NONE;
    GatewayState recorded =
        withArrivals(state, digest, node.nowMs())
            .withPeers(peers.with(peer, ReceivedDigest.of(digest, node.nowMs())), node.nowMs());
    Duty duty =
        digest.fencingNumber() > 0
            ? state.duty().withHolderReport(peer, digest.fencingNumber(), node.nowMs())
            : state.duty().withPeerNotHolding(peer, node.nowMs());
    boolean knownPeer = state.peers().byPeer().containsKey(peer);
    NodeState next = node.withGateway(recorded.withDuty(duty));
    NodeState resized = knownPeer ? next : RetryBudgets.resize(next);
    Transition<NodeState, Effect> reported =
        CrashEvents.reportsReceived(resized, digest.crashReports());
    return ofSpoke
        ? reported
        : reported.then(current -> FactsEvents.digestReceived(current, peer, digest));
  }

  /** Adds the calls of a spoke to those that this instance reports with its next digest. */
  private static GatewayState withArrivals(GatewayState state, LoadDigest digest, long nowMs) {
    if (digest.scope() != DigestScope.INSTANCE) {
      return state.withPlacement(state.placement().withArrivals(digest.arrivals(), nowMs));
    }
    PMap<ModelKey, Integer> arrivals = state.arrivals();
    for (Map.Entry<ModelKey, Integer> entry : digest.arrivals().entrySet()) {
      int calls = arrivals.getOrDefault(entry.getKey(), 0) + entry.getValue();
      arrivals = arrivals.plus(entry.getKey(), calls);
    }
    return state.withArrivals(arrivals);
  }
}
