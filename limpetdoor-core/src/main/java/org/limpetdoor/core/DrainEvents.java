package org.limpetdoor.core;

import org.limpetdoor.core.decision.DrainDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.core.event.DrainRequested;

/** Reduces the graceful shutdown of the instance. */
final class DrainEvents {
  private DrainEvents() {}

  /** Refuses new requests from now on; a repeat changes nothing. */
  static Transition<NodeState, Effect> requested(NodeState state, DrainRequested event) {
    if (state.draining()) {
      return Transition.of(state);
    }
    String instance = state.self().id().value();
    Timer timer =
        new Timer(state.nowMs() + event.drainTimeoutMs(), TimerKind.DRAIN_TIMEOUT, instance);
    NodeState draining =
        state.withDrain(DrainPhase.DRAINING).withTimers(state.timers().plus(timer));
    DrainDecision decision =
        new DrainDecision(
            state.self().id(), state.requests().byId().size(), event.drainTimeoutMs());
    return Transition.of(draining, new RecordDecision(decision));
  }

  /** Stops the instance when the last accepted request has ended. */
  static Transition<NodeState, Effect> stopIfIdle(NodeState state) {
    boolean last = state.drain() == DrainPhase.DRAINING && state.requests().byId().isEmpty();
    return last ? stop(state, StopInstance.Reason.ALL_ENDED) : Transition.of(state);
  }

  /** Stops the instance, whatever is still open. */
  static Transition<NodeState, Effect> timedOut(NodeState state) {
    return stop(state, StopInstance.Reason.TIMED_OUT);
  }

  private static Transition<NodeState, Effect> stop(NodeState state, StopInstance.Reason reason) {
    return Transition.of(state.withDrain(DrainPhase.STOPPED), new StopInstance(reason));
  }
}
