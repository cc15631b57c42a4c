package org.limpetdoor.core;

import java.util.function.BiFunction;
import org.limpetdoor.core.agreed.OutboxEvents;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.gateway.CallEvents;
import org.limpetdoor.core.gateway.CrashEvents;
import org.limpetdoor.core.gateway.EngineNoticeEvents;
import org.limpetdoor.core.gateway.EngineOrders;
import org.limpetdoor.core.gateway.GatewayTick;
import org.limpetdoor.core.gateway.WaitingCalls;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.RequestId;
import org.limpetdoor.core.request.RequestEvents;

/** Kinds of timers, each with its handler. */
public enum TimerKind {
  /** A waiting request reaches its first-token objective. The key is the request identifier. */
  QUEUE_DEADLINE((state, key) -> RequestEvents.queueDeadline(state, new RequestId(key))),
  /** An append to the log is retried. The key is its sequence number and the number of attempts. */
  APPEND_RETRY(OutboxEvents::retryDue),
  /** Leases, orders and placement are checked. The key is empty. */
  CONTROL_TICK((state, key) -> ControlTick.tick(state)),
  /** The ages of all queues are checked. The key is ignored. */
  QUEUE_AGE_CHECK((state, key) -> RequestEvents.queueAgeCheck(state)),
  /** A back end may have become reachable again. The key is its identifier. */
  BACKEND_RETRY((state, key) -> RequestEvents.backendRetry(state, new BackendId(key))),
  /**
   * An attempt has run for as long as long work takes. The key holds the request and attempt
   * number.
   */
  LONG_WORK_REACHED(RequestEvents::longWorkReached),
  /** A forwarded call has reached its deadline. The key is its number. */
  CALL_EXPIRY(CallEvents::expired),
  /** A forwarded call has reached its longest wait for an engine. The key is its number. */
  CALL_WAIT(WaitingCalls::timedOut),
  /**
   * The longest wait of a forwarded call for engines with many unread prompt tokens has passed. The
   * key is its number.
   */
  CALL_PROMPT_PACING(WaitingCalls::promptPacingEnded),
  /** An engine that rejected a call or was unreachable may be tried again. The key is its name. */
  ENGINE_RETRY(WaitingCalls::engineRetryDue),
  /**
   * The load of an adapter is due to be complete. The key holds the engine, the model and the
   * adapter.
   */
  ADAPTER_LOAD_DUE(EngineOrders::adapterDue),
  /** The time for which an engine accepted no requests has passed. The key is its identifier. */
  ENGINE_REOPENED(EngineNoticeEvents::reopened),
  /**
   * The placement duty, peers, engines and the placement of forwarded calls are checked. The key is
   * empty.
   */
  GATEWAY_TICK((state, key) -> GatewayTick.tick(state)),
  /** Evidence of contents that crash engines is reported to the peers. The key is empty. */
  CRASH_REPORT(CrashEvents::reportDue),
  /** A graceful shutdown has reached its timeout. The key is the instance. */
  DRAIN_TIMEOUT((state, key) -> DrainEvents.timedOut(state));

  private final BiFunction<NodeState, String, Transition<NodeState, Effect>> handler;

  TimerKind(BiFunction<NodeState, String, Transition<NodeState, Effect>> handler) {
    this.handler = handler;
  }

  Transition<NodeState, Effect> fire(NodeState state, String key) {
    return handler.apply(state, key);
  }
}
