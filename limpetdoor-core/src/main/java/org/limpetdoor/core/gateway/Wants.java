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

/** Tells the holder of the placement duty which models and adapters calls wait for. */
final class Wants {
  private Wants() {}

  /** Counts a call of a model for the next digest. */
  static GatewayState count(GatewayState state, ModelKey key) {
    return state.withArrivals(
        state.arrivals().plus(key, state.arrivals().getOrDefault(key, 0) + 1));
  }

  /** Asks for a model or adapter that no engine of the service holds. */
  static Transition<NodeState, Effect> ask(NodeState node, String service, ModelKey key) {
    GatewayState state = node.gateway();
    if (DutyEvents.acts(node)) {
      return wanted(node, service, key);
    }
    return holder(node)
        .map(
            peer ->
                Transition.<NodeState, Effect>of(
                    node, new SendToPeer(peer, new ModelRequested(service, key))))
        .orElse(Transition.of(node));
  }

  /** Repeats the questions of all waiting calls, since a message or the holder may be lost. */
  static Transition<NodeState, Effect> askAgain(NodeState node) {
    Map<ModelKey, String> wanted = new LinkedHashMap<>();
    for (Long id : node.gateway().waiting()) {
      Call call = node.gateway().calls().get(id);
      call.spec().model().ifPresent(key -> wanted.put(key, call.service()));
    }
    Transition<NodeState, Effect> result = Transition.of(node);
    for (Map.Entry<ModelKey, String> want : wanted.entrySet()) {
      if (!held(node.gateway(), want.getValue(), want.getKey())) {
        result = result.then(next -> ask(next, want.getValue(), want.getKey()));
      }
    }
    return result;
  }

  /** Notes at the holder that an instance waits for a model or adapter. */
  static Transition<NodeState, Effect> wanted(NodeState node, String service, ModelKey key) {
    GatewayState state = node.gateway();
    Placement noted = state.placement().withWant(key, service, node.nowMs());
    return Planning.plan(node.withGateway(state.withPlacement(noted)));
  }

  static boolean held(GatewayState state, String service, ModelKey key) {
    return state.engines().ofService(service).stream()
        .anyMatch(engine -> engine.usable() && engine.holds(key));
  }

  /** Returns the peer that told the highest fencing number within the last second. */
  private static Optional<InstanceId> holder(NodeState node) {
    InstanceId best = null;
    long fence = 0;
    for (Map.Entry<InstanceId, PeerLoad> peer : node.gateway().peers().entrySet()) {
      long told = peer.getValue().digest().fencingNumber();
      if (peer.getValue().usable(node.nowMs()) && told > fence) {
        best = peer.getKey();
        fence = told;
      }
    }
    return Optional.ofNullable(best);
  }
}
