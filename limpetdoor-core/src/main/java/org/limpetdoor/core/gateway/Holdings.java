package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;

/** Follows what engines hold, ahead of the list of engines. */
final class Holdings {
  private Holdings() {}

  /** Notes a change at the holder of the duty, tells the peers and serves calls that wait. */
  static Transition<NodeState, Effect> changed(
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
    Transition<NodeState, Effect> result = told(node, message);
    for (InstanceId peer : state.peers().keySet()) {
      result = result.with(new SendToPeer(peer, message));
    }
    return result;
  }

  /** Notes a change that the holder of the duty told. */
  static Transition<NodeState, Effect> told(NodeState node, LoadedModelChanged message) {
    GatewayState state = node.gateway();
    EngineTable engines =
        state
            .engines()
            .update(
                message.engine(),
                engine ->
                    engine.entry().startedAtMs() == message.startedAtMs()
                        ? engine.withHolding(
                            holding ->
                                holding.changed(
                                    message.key(), message.held(), message.ordersAccepted()))
                        : engine);
    return CallEvents.serveWaiting(node.withGateway(state.withEngines(engines)));
  }
}
