package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Timers;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.id.BackendId;

/** Reduces what engines state about themselves in their responses. */
public final class EngineNoticeEvents {
  private EngineNoticeEvents() {}

  /** Records what an engine states, whether or not it is listed at the moment. */
  public static Transition<NodeState, Effect> received(NodeState node, EngineNoticeReceived event) {
    GatewayState state = node.gateway();
    BackendId engine = event.engine();
    StatedAvailability before = state.engines().stated(engine, event.startedAtMs());
    EngineTable engines =
        state.engines().withNotice(engine, event.startedAtMs(), event.notice(), node.nowMs());
    StatedAvailability after = engines.stated(engine, event.startedAtMs());
    Transition<NodeState, Effect> result =
        Transition.of(node.withGateway(state.withEngines(engines)));
    if (after.leaving() && !before.leaving()) {
      result = result.with(new RecordDecision(GatewayDecision.engineLeaving(engine)));
    }
    return after.closedUntilMs() > before.closedUntilMs()
        ? result.then(next -> closed(next, engine, before, after))
        : result;
  }

  /**
   * Forwards waiting calls once the time for which an engine accepted no requests has passed. The
   * engine has stated when it has room, which replaces the estimate of this instance.
   */
  public static Transition<NodeState, Effect> reopened(NodeState node, String key) {
    GatewayState state = node.gateway();
    EngineTable engines =
        state
            .engines()
            .update(new BackendId(key), engine -> engine.withHealth(EngineHealth::withRoom));
    return WaitingCalls.serve(node.withGateway(state.withEngines(engines)));
  }

  private static Transition<NodeState, Effect> closed(
      NodeState node, BackendId engine, StatedAvailability before, StatedAvailability after) {
    Timers timers =
        node.timers()
            .minus(reopeningTimer(engine, before.closedUntilMs()))
            .plus(reopeningTimer(engine, after.closedUntilMs()));
    Transition<NodeState, Effect> result = Transition.of(node.withTimers(timers));
    boolean wasOpen = before.closedUntilMs() <= node.nowMs();
    if (wasOpen) {
      long closedMs = after.closedUntilMs() - node.nowMs();
      result = result.with(new RecordDecision(GatewayDecision.engineClosed(engine, closedMs)));
    }
    return result.then(WaitingCalls::serve);
  }

  private static Timer reopeningTimer(BackendId engine, long dueMs) {
    return new Timer(dueMs, TimerKind.ENGINE_REOPENED, engine.value());
  }
}
