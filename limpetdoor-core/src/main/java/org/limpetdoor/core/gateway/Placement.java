package org.limpetdoor.core.gateway;

import org.limpetdoor.core.Timed;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * What the holder of the placement duty knows and has ordered.
 *
 * @param demand calls of each model and adapter
 * @param countedSinceMs when calls were first counted, or {@link Timed#NEVER_MS}
 * @param wants models and adapters that calls wait for
 * @param slots what is under way at each engine
 * @param loadTokens loads from the weight store that may begin now
 * @param refilledAtMs when the tokens were last counted, in monotonic milliseconds
 * @param nextOrder number of the next order
 */
record Placement(
    PMap<ModelKey, Demand> demand,
    long countedSinceMs,
    PMap<ModelKey, Want> wants,
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

  /** Time after the last question at which a want is forgotten; waiting calls repeat it. */
  static final long WANT_TTL_MS = 1_500;

  /** Time constant of the smoothed demand; models shift within seconds. */
  private static final double DEMAND_TAU_MS = 900;

  /**
   * Shortest time for which calls count as counted, so that one early call is not many a second.
   */
  private static final long MIN_COUNTED_MS = 500;

  /** Rate below which a model counts as not asked for, in calls a second. */
  private static final double FORGET_PER_S = 0.02;

  /**
   * Calls of a model or adapter.
   *
   * @param perS smoothed rate, in calls a second
   * @param lastMs when the last call was told of
   */
  record Demand(double perS, long lastMs) {
    static final Demand NONE = new Demand(0, 0);
  }

  /**
   * A model or adapter that calls wait for.
   *
   * @param service service whose engines should hold it
   * @param lastAskedMs when an instance last asked for it
   */
  record Want(String service, long lastAskedMs) {}

  Demand demandOf(ModelKey key) {
    return demand.getOrDefault(key, Demand.NONE);
  }

  /** Returns whether calls were counted, so that it is known which models are asked for. */
  boolean demandKnown() {
    return countedSinceMs != Timed.NEVER_MS;
  }

  /**
   * Returns the calls of a model or adapter, in calls a second. A mean that has just begun is too
   * low by the part of its time constant that has not passed, so it is raised by that factor.
   */
  double perS(ModelKey key, long nowMs) {
    long countedMs = Math.max(MIN_COUNTED_MS, nowMs - countedSinceMs + GatewayTick.INTERVAL_MS);
    return demandOf(key).perS() / (1 - Math.exp(-countedMs / DEMAND_TAU_MS));
  }

  OrderSlot slot(BackendId engine) {
    return slots.getOrDefault(engine, OrderSlot.UNVERIFIED);
  }

  Placement withWant(ModelKey key, String service, long nowMs) {
    return new Placement(
        demand,
        countedSinceMs,
        wants.plus(key, new Want(service, nowMs)),
        slots,
        loadTokens,
        refilledAtMs,
        nextOrder);
  }

  Placement withoutWant(ModelKey key) {
    return new Placement(
        demand, countedSinceMs, wants.minus(key), slots, loadTokens, refilledAtMs, nextOrder);
  }

  Placement withSlot(BackendId engine, OrderSlot slot) {
    return new Placement(
        demand,
        countedSinceMs,
        wants,
        slots.plus(engine, slot),
        loadTokens,
        refilledAtMs,
        nextOrder);
  }

  Placement withoutSlot(BackendId engine) {
    return new Placement(
        demand, countedSinceMs, wants, slots.minus(engine), loadTokens, refilledAtMs, nextOrder);
  }

  Placement withLoadTokens(double value, long nowMs) {
    return new Placement(demand, countedSinceMs, wants, slots, value, nowMs, nextOrder);
  }

  Placement withNextOrder() {
    return new Placement(
        demand, countedSinceMs, wants, slots, loadTokens, refilledAtMs, nextOrder + 1);
  }

  /** Adds calls that an instance told of. */
  Placement withArrivals(PMap<ModelKey, Integer> arrivals, long nowMs) {
    PMap<ModelKey, Demand> next = demand;
    for (var entry : arrivals.entrySet()) {
      next = added(next, entry.getKey(), entry.getValue(), nowMs);
      if (entry.getKey().adapter().isPresent()) {
        next = added(next, entry.getKey().base(), entry.getValue(), nowMs);
      }
    }
    long sinceMs = arrivals.isEmpty() ? countedSinceMs : Math.min(countedSinceMs, nowMs);
    return new Placement(next, sinceMs, wants, slots, loadTokens, refilledAtMs, nextOrder);
  }

  /** Notes that a model or adapter is about to be used, so that it does not make way at once. */
  Placement touched(ModelKey key, long nowMs) {
    PMap<ModelKey, Demand> touched = demand.plus(key, new Demand(demandOf(key).perS(), nowMs));
    return new Placement(
        touched, countedSinceMs, wants, slots, loadTokens, refilledAtMs, nextOrder);
  }

  /** Lets the demand fade and forgets what nobody asks for any more. */
  Placement faded(long elapsedMs, long nowMs) {
    double factor = Math.exp(-elapsedMs / DEMAND_TAU_MS);
    PMap<ModelKey, Demand> next = demand;
    for (var entry : demand.entrySet()) {
      Demand known = entry.getValue();
      Demand faded = new Demand(known.perS() * factor, known.lastMs());
      next =
          faded.perS() < FORGET_PER_S
              ? next.minus(entry.getKey())
              : next.plus(entry.getKey(), faded);
    }
    PMap<ModelKey, Want> open = wants;
    for (var entry : wants.entrySet()) {
      boolean old = nowMs - entry.getValue().lastAskedMs() > WANT_TTL_MS;
      open = old ? open.minus(entry.getKey()) : open;
    }
    return new Placement(next, countedSinceMs, open, slots, loadTokens, refilledAtMs, nextOrder);
  }

  /** Forgets what was under way, because another holder may have given orders since. */
  Placement unverified() {
    return new Placement(
        demand, countedSinceMs, wants, HashTreePMap.empty(), 0, refilledAtMs, nextOrder);
  }

  private static PMap<ModelKey, Demand> added(
      PMap<ModelKey, Demand> known, ModelKey key, int calls, long nowMs) {
    double perS = known.getOrDefault(key, Demand.NONE).perS() + calls * 1_000 / DEMAND_TAU_MS;
    return known.plus(key, new Demand(perS, nowMs));
  }
}
