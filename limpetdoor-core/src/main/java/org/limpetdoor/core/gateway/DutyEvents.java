package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.JoinDuty;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.DutyAnswered;

/** Reduces who holds the placement duty. */
public final class DutyEvents {
  private DutyEvents() {}

  /** Notes whether the store dealt the duty to this instance. */
  public static Transition<NodeState, Effect> answered(NodeState node, DutyAnswered event) {
    GatewayState state = node.gateway();
    Duty before = state.duty();
    Duty duty =
        before.answered(
            node.nowMs(),
            event.requestedAtMs(),
            event.generation(),
            event.held(),
            state.settings().leaseMs());
    boolean begins = duty.held() && duty.heldSinceMs() != before.heldSinceMs();
    Placement placement = begins ? state.placement().unverified() : state.placement();
    NodeState next = node.withGateway(state.withDuty(duty).withPlacement(placement));
    return before.held() == duty.held() && !begins
        ? Transition.of(next)
        : Transition.of(
            next, new RecordDecision(GatewayDecision.duty(duty.held(), duty.generation())));
  }

  /** Asks the store for the duty, or keeps it. A draining instance lets it go. */
  static Transition<NodeState, Effect> tick(NodeState node) {
    GatewayState state = node.gateway();
    if (node.draining() || node.nowMs() < state.duty().nextJoinAtMs()) {
      return Transition.of(node);
    }
    return Transition.of(
        node.withGateway(state.withDuty(state.duty().joining(node.nowMs()))),
        new JoinDuty(state.duty().generation(), Duty.TTL_MS));
  }
}
