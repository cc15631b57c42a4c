package org.limpetdoor.core.gateway;

import org.limpetdoor.core.Timed;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Demand, model requests and orders as recorded by the holder of the placement duty.
 *
 * @param demand demand for each model and adapter
 * @param countedSinceMs time from which calls are counted, in monotonic milliseconds, or {@link
 *     Timed#NEVER_MS}
 * @param modelRequests models and adapters that calls wait for
 * @param slots state of the orders at each engine
 * @param loadTokens loads from the weight store that may start now
 * @param refilledAtMs time of the last refill of the tokens, in monotonic milliseconds
 * @param nextOrder number of the next order
 */
record Placement(
    PMap<ModelKey, Demand> demand,
    long countedSinceMs,
    PMap<ModelKey, ModelRequest> modelRequests,
    PMap<BackendId, OrderSlot> slots,
    double loadTokens,
    long refilledAtMs,
    long nextOrder) {
  static final Placement EMPTY =
      new Placement(
          HashTreePMap.empty(),
          Timed.NEVER_MS,
          HashTreePMap.empty(),
          HashTreePMap.empty(),
          0,
          0,
          1);

  /**
   * Time after which a model request that was not repeated is removed, in milliseconds; waiting
   * calls repeat it.
   */
  static final long MODEL_REQUEST_TTL_MS = 1_500;

  /**
   * Time constant of the smoothed demand, in milliseconds; demand shifts between models within
   * seconds.
   */
  private static final double DEMAND_TAU_MS = 900;

  /**
   * Minimum period assumed for the estimate of the demand, in milliseconds, so that one early call
   * does not give a high rate.
   */
  private static final long MIN_COUNTED_MS = 500;

  /** Time for which the last use of a model or adapter is kept, in milliseconds. */
  private static final long USE_RETENTION_MS = 10_000;

  /** Rate below which the demand for a model or adapter is removed, in calls per second. */
  private static final double MIN_DEMAND_PER_S = 0.02;

  /**
   * Demand for a model or adapter.
   *
   * @param callsPerS smoothed rate, in calls per second
   * @param lastCallAtMs time at which the last call was reported or a load was ordered or ended, in
   *     monotonic milliseconds
   * @param loadedAtMs time at which a load was last ordered or ended, in monotonic milliseconds
   */
  record Demand(double callsPerS, long lastCallAtMs, long loadedAtMs) {
    static final Demand NONE = new Demand(0, 0, 0);
  }

  /**
   * A request for a model or adapter that calls wait for.
   *
   * @param service service whose engines should hold it
   * @param sinceMs time at which it was first requested, in monotonic milliseconds
   * @param lastRequestedAtMs time at which an instance last requested it, in monotonic milliseconds
   * @param reportedAtMs time at which it was last reported as waiting, or first requested, in
   *     monotonic milliseconds
   */
  record ModelRequest(String service, long sinceMs, long lastRequestedAtMs, long reportedAtMs) {
    static ModelRequest first(String service, long nowMs) {
      return new ModelRequest(service, nowMs, nowMs, nowMs);
    }

    ModelRequest repeated(long nowMs) {
      return new ModelRequest(service, sinceMs, nowMs, reportedAtMs);
    }

    ModelRequest reported(long nowMs) {
      return new ModelRequest(service, sinceMs, lastRequestedAtMs, nowMs);
    }
  }

  Demand demandOf(ModelKey key) {
    return demand.getOrDefault(key, Demand.NONE);
  }

  /** Returns whether any calls were counted, so that the demand for models can be compared. */
  boolean demandKnown() {
    return countedSinceMs != Timed.NEVER_MS;
  }

  /**
   * Returns the demand for a model or adapter, in calls per second. Shortly after counting starts,
   * the smoothed rate is too low, because less than its time constant has passed; dividing by the
   * completed share corrects it.
   */
  double callsPerS(ModelKey key, long nowMs) {
    long countedMs = Math.max(MIN_COUNTED_MS, nowMs - countedSinceMs + GatewayTick.INTERVAL_MS);
    return demandOf(key).callsPerS() / (1 - Math.exp(-countedMs / DEMAND_TAU_MS));
  }

  OrderSlot slot(BackendId engine) {
    return slots.getOrDefault(engine, OrderSlot.UNVERIFIED);
  }

  Placement withModelRequest(ModelKey key, String service, long nowMs) {
    ModelRequest previous = modelRequests.get(key);
    return withModelRequest(
        key, previous == null ? ModelRequest.first(service, nowMs) : previous.repeated(nowMs));
  }

  Placement withModelRequest(ModelKey key, ModelRequest request) {
    return new Placement(
        demand,
        countedSinceMs,
        modelRequests.plus(key, request),
        slots,
        loadTokens,
        refilledAtMs,
        nextOrder);
  }

  Placement withoutModelRequest(ModelKey key) {
    return new Placement(
        demand,
        countedSinceMs,
        modelRequests.minus(key),
        slots,
        loadTokens,
        refilledAtMs,
        nextOrder);
  }

  Placement withSlot(BackendId engine, OrderSlot slot) {
    return new Placement(
        demand,
        countedSinceMs,
        modelRequests,
        slots.plus(engine, slot),
        loadTokens,
        refilledAtMs,
        nextOrder);
  }

  Placement withoutSlot(BackendId engine) {
    return new Placement(
        demand,
        countedSinceMs,
        modelRequests,
        slots.minus(engine),
        loadTokens,
        refilledAtMs,
        nextOrder);
  }

  Placement withLoadTokens(double value, long nowMs) {
    return new Placement(demand, countedSinceMs, modelRequests, slots, value, nowMs, nextOrder);
  }

  Placement withNextOrder() {
    return new Placement(
        demand, countedSinceMs, modelRequests, slots, loadTokens, refilledAtMs, nextOrder + 1);
  }

  /** Adds calls that an instance reported. */
  Placement withArrivals(PMap<ModelKey, Integer> arrivals, long nowMs) {
    PMap<ModelKey, Demand> next = demand;
    for (var entry : arrivals.entrySet()) {
      next = withCalls(next, entry.getKey(), entry.getValue(), nowMs);
      if (entry.getKey().adapter().isPresent()) {
        next = withCalls(next, entry.getKey().base(), entry.getValue(), nowMs);
      }
    }
    long sinceMs = arrivals.isEmpty() ? countedSinceMs : Math.min(countedSinceMs, nowMs);
    return new Placement(next, sinceMs, modelRequests, slots, loadTokens, refilledAtMs, nextOrder);
  }

  /** Records that a model or adapter is about to be used, so that it is not evicted at once. */
  Placement withRecentUse(ModelKey key, long nowMs) {
    PMap<ModelKey, Demand> updated =
        demand.plus(key, new Demand(demandOf(key).callsPerS(), nowMs, nowMs));
    return new Placement(
        updated, countedSinceMs, modelRequests, slots, loadTokens, refilledAtMs, nextOrder);
  }

  /**
   * Decays the demand by the elapsed time, and removes negligible demand and expired model
   * requests.
   */
  Placement decayed(long elapsedMs, long nowMs) {
    double factor = Math.exp(-elapsedMs / DEMAND_TAU_MS);
    PMap<ModelKey, Demand> next = demand;
    for (var entry : demand.entrySet()) {
      Demand previous = entry.getValue();
      Demand decayed =
          new Demand(previous.callsPerS() * factor, previous.lastCallAtMs(), previous.loadedAtMs());
      boolean unused = nowMs - previous.lastCallAtMs() > USE_RETENTION_MS;
      next =
          unused && decayed.callsPerS() < MIN_DEMAND_PER_S
              ? next.minus(entry.getKey())
              : next.plus(entry.getKey(), decayed);
    }
    PMap<ModelKey, ModelRequest> recent = modelRequests;
    for (var entry : modelRequests.entrySet()) {
      boolean expired = nowMs - entry.getValue().lastRequestedAtMs() > MODEL_REQUEST_TTL_MS;
      recent = expired ? recent.minus(entry.getKey()) : recent;
    }
    return new Placement(next, countedSinceMs, recent, slots, loadTokens, refilledAtMs, nextOrder);
  }

  /** Clears the state of orders, because another holder may have sent orders since. */
  Placement unverified() {
    return new Placement(
        demand, countedSinceMs, modelRequests, HashTreePMap.empty(), 0, refilledAtMs, nextOrder);
  }

  private static PMap<ModelKey, Demand> withCalls(
      PMap<ModelKey, Demand> previous, ModelKey key, int calls, long nowMs) {
    Demand known = previous.getOrDefault(key, Demand.NONE);
    double callsPerS = known.callsPerS() + calls * 1_000 / DEMAND_TAU_MS;
    return previous.plus(key, new Demand(callsPerS, nowMs, known.loadedAtMs()));
  }
}
