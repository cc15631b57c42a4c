package org.limpetdoor.core;

import org.limpetdoor.core.decision.DrainDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.gateway.CallEvents;
import org.limpetdoor.core.gateway.GatewayTick;
import org.limpetdoor.core.request.RequestEvents;

/** Reduces the events of the graceful shutdown of the instance. */
final class DrainEvents {
  /**
   * Time after the start of the drain during which forwarded calls are still accepted, in
   * milliseconds. The load balancer polls readiness once a second and sends callers elsewhere after
   * two negative answers. A call that is still waiting then is refused, so that none is sent that
   * the end of the instance would interrupt.
   */
  private static final long LATE_CALL_ACCEPTANCE_MS = 2_900;

  private DrainEvents() {}

  /** Starts the drain: new requests are refused from then on. A repeated request has no effect. */
  static Transition<NodeState, Effect> requested(NodeState state, DrainRequested event) {
    if (state.draining()) {
      return Transition.of(state);
    }
    String instance = state.self().id().value();
    Timer timer =
        new Timer(state.nowMs() + event.drainTimeoutMs(), TimerKind.DRAIN_TIMEOUT, instance);
    NodeState draining =
        state
            .withDrain(DrainPhase.DRAINING)
            .withTimers(state.timers().plus(timer))
            .withGateway(
                state.gateway().withAcceptsUntilMs(state.nowMs() + LATE_CALL_ACCEPTANCE_MS));
    DrainDecision decision =
        new DrainDecision(
            state.self().id(),
            state.requests().byId().size() + state.gateway().openCalls(),
            event.drainTimeoutMs());
    return Transition.<NodeState, Effect>of(draining, new RecordDecision(decision))
        .then(GatewayTick::leave);
  }

  /** Stops a draining instance once its last accepted request has ended. */
  static Transition<NodeState, Effect> stopIfIdle(NodeState state) {
    boolean idle =
        state.drain() == DrainPhase.DRAINING
            && state.requests().byId().isEmpty()
            && state.gateway().mayStop(state.nowMs());
    return idle ? stop(state, StopInstance.Reason.ALL_ENDED) : Transition.of(state);
  }

  /** Answers all requests that are still open at the drain timeout, and stops the instance. */
  static Transition<NodeState, Effect> timedOut(NodeState state) {
    return CallEvents.endAll(state)
        .then(RequestEvents::endAll)
        .then(next -> stop(next, StopInstance.Reason.TIMED_OUT));
  }

  private static Transition<NodeState, Effect> stop(NodeState state, StopInstance.Reason reason) {
    return Transition.of(state.withDrain(DrainPhase.STOPPED), new StopInstance(reason));
  }
}
