package org.limpetdoor.core;

import java.util.function.BiFunction;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.gateway.CallEvents;
import org.limpetdoor.core.gateway.EngineOrders;
import org.limpetdoor.core.gateway.GatewayTick;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.RequestEvents;

/** Kinds of timers, each with what happens when it is due. */
public enum TimerKind {
  /** A waiting request reaches its objective. The key is the request identifier. */
  QUEUE_DEADLINE((state, key) -> RequestEvents.queueDeadline(state, new RequestId(key))),
  /** An append is repeated. The key is its sequence number and the number of attempts. */
  APPEND_RETRY(OutboxEvents::retryDue),
  /** Leases, orders and placement are looked at. The key is empty. */
  CONTROL_TICK((state, key) -> ControlTick.tick(state)),
  /** The ages of all queues are checked. The key has no meaning. */
  QUEUE_AGE_CHECK((state, key) -> RequestEvents.queueAgeCheck(state)),
  /** A back end may have become reachable again. The key is its identifier. */
  BACKEND_RETRY((state, key) -> RequestEvents.backendRetry(state, new BackendId(key))),
  /** An attempt has run for as long as long work. The key is request and attempt number. */
  WORK_OUTRUN(RequestEvents::predictionExceeded),
  /** The time of a forwarded call has run out. The key is its number. */
  CALL_EXPIRY(CallEvents::expired),
  /** A forwarded call has waited for an engine as long as it may. The key is its number. */
  CALL_WAIT(CallEvents::waitedTooLong),
  /** A forwarded call waits no longer for an engine to read prompts. The key is its number. */
  CALL_PACE(CallEvents::paced),
  /** An engine should have loaded an adapter. The key is the engine, the model and the adapter. */
  ADAPTER_DUE(EngineOrders::adapterDue),
  /** Duty, peers, engines and placement of forwarded calls are looked at. The key is empty. */
  GATEWAY_TICK((state, key) -> GatewayTick.tick(state)),
  /** A graceful shutdown has taken as long as it may. The key is the instance. */
  DRAIN_TIMEOUT((state, key) -> DrainEvents.timedOut(state));

  private final BiFunction<NodeState, String, Transition<NodeState, Effect>> handler;

  TimerKind(BiFunction<NodeState, String, Transition<NodeState, Effect>> handler) {
    this.handler = handler;
  }

  Transition<NodeState, Effect> fire(NodeState state, String key) {
    return handler.apply(state, key);
  }
}
