package org.limpetdoor.core;

import java.util.function.BiFunction;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.RequestEvents;

/** Kinds of timers, each with what happens when it is due. */
public enum TimerKind {
  /** A waiting request reaches its objective. The key is the request identifier. */
  QUEUE_DEADLINE((state, key) -> RequestEvents.queueDeadline(state, new RequestId(key))),
  /** An append is repeated. The key is its sequence number and the number of attempts. */
  APPEND_RETRY(OutboxEvents::retryDue),
  /** Leases, orders and placement are looked at. The key is empty. */
  CONTROL_TICK((state, key) -> ControlTick.tick(state));

  private final BiFunction<NodeState, String, Transition<NodeState, Effect>> handler;

  TimerKind(BiFunction<NodeState, String, Transition<NodeState, Effect>> handler) {
    this.handler = handler;
  }

  Transition<NodeState, Effect> fire(NodeState state, String key) {
    return handler.apply(state, key);
  }
}
