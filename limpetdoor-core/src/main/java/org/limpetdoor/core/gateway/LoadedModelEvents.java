package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;

/** Applies loads and unloads of models and adapters before the list of engines shows them. */
final class LoadedModelEvents {
  private LoadedModelEvents() {}

  /**
   * Applies a change at the holder of the placement duty, reports it to the peers and serves
   * waiting calls.
   */
  static Transition<NodeState, Effect> publishChange(
      NodeState node, BackendId engine, ModelKey key, boolean held) {
    GatewayState state = node.gateway();
    if (state.engines().find(engine).isEmpty()) {
      return Transition.of(node);
    }
    OrderSlot slot = state.placement().slot(engine);
    LoadedModelChanged message =
        new LoadedModelChanged(
            engine,
            state.engines().find(engine).get().entry().startedAtMs(),
            slot.ordersAccepted(),
            key,
            held);
    Transition<NodeState, Effect> result = applyChange(node, message);
    for (InstanceId peer : node.membership().linked()) {
      result = result.with(new SendToPeer(peer, message));
    }
    return result;
  }

  /** Applies a change that a peer reported. A hub passes it on to its spokes. */
  static Transition<NodeState, Effect> received(
      NodeState node, InstanceId peer, LoadedModelChanged message) {
    Transition<NodeState, Effect> result = applyChange(node, message);
    PeerLoads peers = node.gateway().peers();
    for (InstanceId spoke : peers.names()) {
      boolean passedOn = peers.isSpoke(spoke) && !spoke.equals(peer);
      result = passedOn ? result.with(new SendToPeer(spoke, message)) : result;
    }
    return result;
  }

  /** Applies a change that the holder of the placement duty reported, and serves waiting calls. */
  static Transition<NodeState, Effect> applyChange(NodeState node, LoadedModelChanged message) {
    GatewayState state = node.gateway();
    EngineTable engines =
        state
            .engines()
            .update(
                message.engine(),
                engine ->
                    engine.entry().startedAtMs() == message.startedAtMs()
                        ? engine.withLoadedModels(
                            models ->
                                models.withChange(
                                    message.key(), message.held(), message.ordersAccepted()))
                        : engine);
    return WaitingCalls.serve(node.withGateway(state.withEngines(engines)));
  }
}
