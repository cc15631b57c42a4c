package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.EngineNoticeReceived;

/** Reduces what engines state about themselves in their responses. */
public final class EngineNoticeEvents {
  private EngineNoticeEvents() {}

  /** Records what an engine states, whether or not it is listed at the moment. */
  public static Transition<NodeState, Effect> received(NodeState node, EngineNoticeReceived event) {
    GatewayState state = node.gateway();
    EngineTable before = state.engines();
    EngineTable after =
        before.withNotice(event.engine(), event.startedAtMs(), event.notice(), node.nowMs());
    Transition<NodeState, Effect> result =
        Transition.of(node.withGateway(state.withEngines(after)));
    boolean leaves =
        !before.hasStatedLeaving(event.engine(), event.startedAtMs())
            && after.hasStatedLeaving(event.engine(), event.startedAtMs());
    return leaves
        ? result.with(new RecordDecision(GatewayDecision.engineLeaving(event.engine())))
        : result;
  }
}
