package org.limpetdoor.core.gateway;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;

/** Requests models and adapters for waiting calls from the holder of the placement duty. */
final class ModelRequests {
  private ModelRequests() {}

  /** Counts a call of a model for the next digest. */
  static GatewayState countArrival(GatewayState state, ModelKey key) {
    return state.withArrivals(
        state.arrivals().plus(key, state.arrivals().getOrDefault(key, 0) + 1));
  }

  /** Requests a model or adapter that no engine of the service holds. */
  static Transition<NodeState, Effect> request(NodeState node, String service, ModelKey key) {
    GatewayState state = node.gateway();
    if (DutyEvents.maySendOrders(node)) {
      return recordRequest(node, service, key);
    }
    return dutyHolder(node)
        .map(
            peer ->
                Transition.<NodeState, Effect>of(
                    node, new SendToPeer(peer, new ModelRequested(service, key))))
        .orElse(Transition.of(node));
  }

  /**
   * Repeats the requests of all waiting calls, because a message may have been lost or the holder
   * may have failed.
   */
  static Transition<NodeState, Effect> requestForWaitingCalls(NodeState node) {
    Map<ModelKey, String> requested = new LinkedHashMap<>();
    for (Long id : node.gateway().waiting()) {
      Call call = node.gateway().calls().get(id);
      call.spec().model().ifPresent(key -> requested.put(key, call.service()));
    }
    Transition<NodeState, Effect> result = Transition.of(node);
    for (Map.Entry<ModelKey, String> request : requested.entrySet()) {
      if (!isLoaded(node.gateway(), request.getValue(), request.getKey())) {
        result = result.then(next -> request(next, request.getValue(), request.getKey()));
      }
    }
    return result;
  }

  /** Records the request of a peer, or passes the request of a spoke on to the holder. */
  static Transition<NodeState, Effect> received(
      NodeState node, InstanceId peer, ModelRequested message) {
    boolean passedOn = node.gateway().peers().isSpoke(peer) && !DutyEvents.maySendOrders(node);
    return passedOn
        ? request(node, message.service(), message.key())
        : recordRequest(node, message.service(), message.key());
  }

  /**
   * Records at the holder that an instance requests a model or adapter, and plans for it. Every
   * instance repeats its requests several times a second, so repeated ones for models, whose plan
   * compares all models, are left to the next tick.
   */
  static Transition<NodeState, Effect> recordRequest(NodeState node, String service, ModelKey key) {
    GatewayState state = node.gateway();
    boolean leftToTick =
        key.adapter().isEmpty() && state.placement().modelRequests().containsKey(key);
    Placement recorded = state.placement().withModelRequest(key, service, node.nowMs());
    NodeState next = node.withGateway(state.withPlacement(recorded));
    return leftToTick ? Transition.of(next) : PlacementPlanner.planRequested(next, service, key);
  }

  static boolean isLoaded(GatewayState state, String service, ModelKey key) {
    return state.engines().ofService(service).stream()
        .anyMatch(engine -> engine.usable() && engine.holds(key));
  }

  /**
   * Returns the peer that reported the highest fencing number in a recent digest. A spoke sends its
   * requests to its hub.
   */
  private static Optional<InstanceId> dutyHolder(NodeState node) {
    GatewayState state = node.gateway();
    if (!state.fleet().isHub()) {
      return state.fleet().hub();
    }
    InstanceId best = null;
    long highest = 0;
    for (Map.Entry<InstanceId, ReceivedDigest> peer : state.peers().byPeer().entrySet()) {
      long fencingNumber = peer.getValue().digest().fencingNumber();
      if (peer.getValue().isRecent(node.nowMs()) && fencingNumber > highest) {
        best = peer.getKey();
        highest = fencingNumber;
      }
    }
    return Optional.ofNullable(best);
  }
}
