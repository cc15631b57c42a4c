package org.limpetdoor.gateway;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.limpetdoor.core.NodeState;

/** Gauges of an instance's state. Each one reads the latest state, which is immutable. */
enum StateGauges {
  /** Version of the routes in force, or -1 if there are none. */
  ROUTES_VERSION("limpetdoor.routes.version", node -> node.gateway().version()),
  /** Number of calls that have not ended. */
  OPEN_CALLS("limpetdoor.calls.open", node -> node.gateway().openCalls()),
  /** Number of calls that wait for an engine. */
  WAITING_CALLS("limpetdoor.calls.waiting", node -> node.gateway().waitingCalls()),
  /** Waiting time of the call that has waited longest for an engine, in milliseconds. */
  OLDEST_WAIT_MS(
      "limpetdoor.calls.oldest.wait.ms", node -> node.gateway().oldestWaitMs(node.nowMs())),
  /** Number of listed engines, including leaving ones. */
  ENGINES("limpetdoor.engines", node -> node.gateway().engineCount()),
  /** 1 if the store is reachable, 0 otherwise. */
  STORE_REACHABLE("limpetdoor.store.reachable", node -> node.gateway().storeReachable() ? 1 : 0),
  /** Latest known era of the store; 0 if it states none. */
  STORE_ERA("limpetdoor.store.era", node -> node.gateway().storeEra()),
  /** 1 if other instances exchange messages through this one, 0 if it is a spoke of a hub. */
  HUB("limpetdoor.fleet.hub", node -> node.gateway().isHub() ? 1 : 0),
  /** Age of the routes and the list of engines, in milliseconds. */
  FACTS_AGE("limpetdoor.facts.age.ms", node -> node.gateway().factsAgeMs(node.nowMs())),
  /** 1 if this instance holds the placement duty, 0 otherwise. */
  DUTY_HELD("limpetdoor.duty.held", node -> node.gateway().holdsDuty() ? 1 : 0),
  /** 1 if the instance is shutting down, 0 otherwise. */
  DRAINING("limpetdoor.draining", node -> node.draining() ? 1 : 0);

  private final String metric;
  private final ToDoubleFunction<NodeState> value;

  StateGauges(String metric, ToDoubleFunction<NodeState> value) {
    this.metric = metric;
    this.value = value;
  }

  /** Registers all gauges, which read the state from the given supplier. */
  static void register(MeterRegistry metrics, Supplier<NodeState> state) {
    for (StateGauges gauge : values()) {
      Gauge.builder(gauge.metric, () -> gauge.value.applyAsDouble(state.get())).register(metrics);
    }
  }
}
