package org.limpetdoor.core;

import org.limpetdoor.core.agreed.AgreedEvents;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.limits.LimitEvents;
import org.limpetdoor.core.membership.PeerEvents;
import org.limpetdoor.core.placement.LeaseEvents;
import org.limpetdoor.core.placement.OrderEvents;
import org.limpetdoor.core.placement.Planner;

/** Runs the periodic checks of leases, orders, placement, limits and peer links. */
final class ControlTick {
  /**
   * Interval between checks, in milliseconds. It bounds the delay of reactions to leases and
   * orders.
   */
  static final long INTERVAL_MS = 1_000;

  private ControlTick() {}

  static Transition<NodeState, Effect> started(NodeState state, InstanceStarted event) {
    NodeState started =
        LimitEvents.started(OrderEvents.started(LeaseEvents.started(state)), event.limitMode());
    return tick(started);
  }

  static Transition<NodeState, Effect> tick(NodeState state) {
    Timer next = new Timer(state.nowMs() + INTERVAL_MS, TimerKind.CONTROL_TICK, "");
    return Transition.<NodeState, Effect>of(state.withTimers(state.timers().plus(next)))
        .then(LeaseEvents::tick)
        .then(OrderEvents::tick)
        .then(Planner::tick)
        .then(LimitEvents::tick)
        .then(PeerEvents::tick)
        .then(AgreedEvents::snapshotIfDue);
  }
}
