package org.limpetdoor.gateway;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.limpetdoor.core.NodeState;

/** Gauges of what an instance believes. Each reads the last state, which is immutable. */
enum StateGauges {
  /** Version of the routes in force, or -1. */
  ROUTES_VERSION("limpetdoor.routes.version", node -> node.gateway().version()),
  /** Calls that have not ended. */
  OPEN_CALLS("limpetdoor.calls.open", node -> node.gateway().openCalls()),
  /** Calls that wait for an engine. */
  WAITING_CALLS("limpetdoor.calls.waiting", node -> node.gateway().waiting().size()),
  /** Time for which the oldest waiting call has waited, in milliseconds. */
  OLDEST_WAIT_MS(
      "limpetdoor.calls.oldest.wait.ms", node -> node.gateway().oldestWaitMs(node.nowMs())),
  /** Engines that are listed, the leaving ones included. */
  ENGINES("limpetdoor.engines", node -> node.gateway().engineCount()),
  /** 1 if the store answers, or 0. */
  STORE_REACHABLE("limpetdoor.store.reachable", node -> node.gateway().storeReachable() ? 1 : 0),
  /** 1 if the store dealt the placement duty to this instance, or 0. */
  DUTY_HELD("limpetdoor.duty.held", node -> node.gateway().holdsDuty() ? 1 : 0),
  /** 1 if the instance shuts down, or 0. */
  DRAINING("limpetdoor.draining", node -> node.draining() ? 1 : 0);

  private final String metric;
  private final ToDoubleFunction<NodeState> value;

  StateGauges(String metric, ToDoubleFunction<NodeState> value) {
    this.metric = metric;
    this.value = value;
  }

  /** Registers all gauges. */
  static void register(MeterRegistry metrics, Supplier<NodeState> state) {
    for (StateGauges gauge : values()) {
      Gauge.builder(gauge.metric, () -> gauge.value.applyAsDouble(state.get())).register(metrics);
    }
  }
}
