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

/**
 * Exchanges load digests with the peers: calls in flight, demand for models, slow engines, and who
 * holds the placement duty.
 */
public final class Digests {
  /**
   * An engine is reported as slow if its time between events of a stream is at least this multiple
   * of the mean over all engines.
   */
  private static final double SLOW_FACTOR = 1.4;

  private Digests() {}

  /** Sends a digest over all established links. */
  static Transition<NodeState, Effect> send(NodeState node) {
    GatewayState state = node.gateway();
    LoadDigest digest =
        new LoadDigest(
            state.version(),
            state.storeReachable(),
            DutyEvents.maySendOrders(node) ? state.duty().fencingNumber() : 0,
            inFlight(state),
            slowEngineGapsMs(node),
            state.adaptersInUse(),
            state.arrivals(),
            state.crashRecords().unreported());
    Placement placement = state.placement().withArrivals(state.arrivals(), node.nowMs());
    NodeState sent =
        node.withGateway(
            state
                .withPlacement(placement)
                .withArrivals(HashTreePMap.empty())
                .withCrashRecords(state.crashRecords().withAllReported(node.nowMs())));
    Transition<NodeState, Effect> result = Transition.of(sent);
    for (Map.Entry<InstanceId, PeerLink> link : node.membership().links().entrySet()) {
      if (link.getValue().established()) {
        result = result.with(new SendToPeer(link.getKey(), digest));
      }
    }
    return result;
  }

  /**
   * Reduces a message from a peer about load, loaded models, model requests or the placement duty.
   */
  public static Transition<NodeState, Effect> received(
      NodeState node, InstanceId peer, PeerMessage message) {
    if (message instanceof LoadDigest digest) {
      return Transition.of(digestReceived(node, peer, digest));
    }
    if (message instanceof LoadedModelChanged changed) {
      return LoadedModelEvents.applyChange(node, changed);
    }
    if (message instanceof ModelRequested request) {
      return ModelRequests.recordRequest(node, request.service(), request.key());
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
    ReceivedDigest last = state.peers().get(peer);
    if (last == null) {
      return node;
    }
    return node.withGateway(
        state
            .withPeers(state.peers().minus(peer))
            .withDuty(
                state.duty().withOtherHolderStopped(last.digest().fencingNumber(), node.nowMs())));
  }

  private static NodeState digestReceived(NodeState node, InstanceId peer, LoadDigest digest) {
    GatewayState state = node.gateway();
    GatewayState recorded =
        state
            .withPeers(state.peers().plus(peer, ReceivedDigest.of(node, digest)))
            .withPlacement(state.placement().withArrivals(digest.arrivals(), node.nowMs()))
            .withCrashRecords(
                state.crashRecords().withPeerLosses(digest.lostEngines(), node.nowMs()));
    Duty duty =
        digest.fencingNumber() > 0
            ? state.duty().withHolderReport(peer, digest.fencingNumber(), node.nowMs())
            : state.duty().withPeerNotHolding(peer, node.nowMs());
    GatewayState withDuty = recorded.withDuty(duty);
    boolean knownPeer = state.peers().containsKey(peer);
    NodeState next = node.withGateway(withDuty);
    return knownPeer ? next : RetryBudgets.resize(next);
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

  /**
   * Returns the time between events of a stream for each slow engine, in milliseconds. Peers
   * without a stream to such an engine have no measurement of their own.
   */
  private static PMap<BackendId, Integer> slowEngineGapsMs(NodeState node) {
    Map<BackendId, Integer> gapsMs = new HashMap<>();
    for (EngineState engine : node.gateway().engines().byId().values()) {
      int gapMs = (int) engine.pace().gapMs(node.nowMs());
      if (gapMs > 0) {
        gapsMs.put(engine.entry().id(), gapMs);
      }
    }
    double meanMs = gapsMs.values().stream().mapToInt(Integer::intValue).average().orElse(0);
    gapsMs.values().removeIf(gapMs -> gapMs < meanMs * SLOW_FACTOR);
    return HashTreePMap.from(gapsMs);
  }
}
