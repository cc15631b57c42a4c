package org.limpetdoor.core.gateway;

import org.limpetdoor.core.Timed;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * What this instance knows of an engine.
 *
 * @param entry its last entry in the list
 * @param held models and adapters that it holds, by the newest word
 * @param heldAsOfOrders orders that it had accepted when it held them
 * @param dropping models that it was ordered to drop and may still list
 * @param inFlight calls of this instance at the engine
 * @param avoidUntilMs time until which it gets calls only if there is no other engine
 * @param failures failures in a row that speak against it
 * @param failureShare share of recent calls that it failed, from 0 to 1
 * @param latencyMs smoothed time to the answer, in milliseconds; 0 if unknown
 * @param unlistedAtMs when its entry was removed while the store may have lost entries, or {@link
 *     Timed#NEVER_MS}
 */
record EngineState(
    EngineEntry entry,
    PSet<ModelKey> held,
    long heldAsOfOrders,
    PSet<ModelKey> dropping,
    int inFlight,
    long avoidUntilMs,
    int failures,
    double failureShare,
    double latencyMs,
    long unlistedAtMs) {
  /** Weight of the newest observation in the smoothed figures. */
  private static final double SMOOTHING = 0.1;

  /** First time for which an engine that cannot be reached is avoided; doubled for each more. */
  private static final long FIRST_AVOID_MS = 500;

  private static final int MAX_DOUBLINGS = 3;

  /** Time for which an engine that said that it is full is avoided, in milliseconds. */
  private static final long FULL_AVOID_MS = 100;

  static EngineState of(EngineEntry entry) {
    return new EngineState(
        entry,
        entry.held(),
        entry.ordersAccepted(),
        HashTreePSet.empty(),
        0,
        0,
        0,
        0,
        0,
        Timed.NEVER_MS);
  }

  /**
   * Follows a new entry. Another start of the engine forgets all that was known. An entry does not
   * tell of an adapter that is complete when the engine wrote it before, so adapters that are known
   * stay until the engine has accepted further orders.
   */
  EngineState withEntry(EngineEntry next) {
    if (next.startedAtMs() > entry.startedAtMs()) {
      return of(next).withInFlight(inFlight);
    }
    if (next.startedAtMs() < entry.startedAtMs()) {
      return this;
    }
    EngineState listed = withListed(next);
    if (next.ordersAccepted() < heldAsOfOrders) {
      return listed;
    }
    if (next.ordersAccepted() > heldAsOfOrders) {
      return listed.withHeld(next.held(), next.ordersAccepted());
    }
    PSet<ModelKey> merged = next.held();
    for (ModelKey key : held) {
      boolean kept = key.adapter().isPresent() && next.held().contains(key.base());
      merged = kept ? merged.plus(key) : merged;
    }
    PSet<ModelKey> stillDropping = HashTreePSet.empty();
    for (ModelKey key : dropping) {
      stillDropping = next.held().contains(key) ? stillDropping.plus(key) : stillDropping;
      merged = ModelKey.without(merged, key);
    }
    return listed.withMerged(merged, stillDropping);
  }

  /** Follows a word of the engine that knows more orders. */
  EngineState withHeld(PSet<ModelKey> value, long asOfOrders) {
    return new EngineState(
        entry,
        value,
        Math.max(heldAsOfOrders, asOfOrders),
        HashTreePSet.empty(),
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        unlistedAtMs);
  }

  /** Follows what the engine itself told, unless newer orders are known. */
  EngineState withInventory(EngineInventory inventory) {
    boolean newer = inventory.ordersAccepted() >= heldAsOfOrders;
    return newer ? withHeld(inventory.held(), inventory.ordersAccepted()) : this;
  }

  /** Follows an order that the holder of the placement duty gave. */
  EngineState changed(ModelKey key, boolean holds, long asOfOrders) {
    PSet<ModelKey> next = holds ? held.plus(key) : ModelKey.without(held, key);
    boolean model = key.adapter().isEmpty();
    PSet<ModelKey> drops = model && !holds ? dropping.plus(key) : dropping.minus(key);
    return new EngineState(
        entry,
        next,
        Math.max(heldAsOfOrders, asOfOrders),
        drops,
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        unlistedAtMs);
  }

  /** Notes that the engine does not hold what it was asked for. */
  EngineState withoutHeld(ModelKey key) {
    return new EngineState(
        entry,
        held.minus(key),
        heldAsOfOrders,
        dropping,
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        unlistedAtMs);
  }

  EngineState withInFlight(int value) {
    return new EngineState(
        entry,
        held,
        heldAsOfOrders,
        dropping,
        Math.max(0, value),
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        unlistedAtMs);
  }

  EngineState withUnlistedAtMs(long value) {
    return new EngineState(
        entry,
        held,
        heldAsOfOrders,
        dropping,
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        value);
  }

  EngineState withDraining() {
    return new EngineState(
        entry.withDraining(),
        held,
        heldAsOfOrders,
        dropping,
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        unlistedAtMs);
  }

  private EngineState withMerged(PSet<ModelKey> merged, PSet<ModelKey> stillDropping) {
    return new EngineState(
        entry,
        merged,
        heldAsOfOrders,
        stillDropping,
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        unlistedAtMs);
  }

  private EngineState withListed(EngineEntry next) {
    return new EngineState(
        next,
        held,
        heldAsOfOrders,
        dropping,
        inFlight,
        avoidUntilMs,
        failures,
        failureShare,
        latencyMs,
        Timed.NEVER_MS);
  }

  /** Notes an answer after the given time. */
  EngineState answered(long tookMs) {
    double latency = latencyMs == 0 ? tookMs : latencyMs + SMOOTHING * (tookMs - latencyMs);
    return with(0, 0, failureShare * (1 - SMOOTHING), latency);
  }

  /** Notes a failure. */
  EngineState failed(ForwardResult.Blame blame, long nowMs) {
    return switch (blame) {
      case NONE, MISSING -> this;
      case FULL ->
          with(Math.max(avoidUntilMs, nowMs + FULL_AVOID_MS), failures, failureShare, latencyMs);
      case ERROR, BROKEN -> with(avoidUntilMs, failures, failing(), latencyMs);
      case UNREACHABLE -> {
        long avoidMs = FIRST_AVOID_MS << Math.min(failures, MAX_DOUBLINGS);
        yield with(nowMs + avoidMs, failures + 1, failing(), latencyMs);
      }
    };
  }

  boolean usable() {
    return !entry.draining();
  }

  boolean holds(ModelKey key) {
    return held.contains(key);
  }

  private double failing() {
    return failureShare + SMOOTHING * (1 - failureShare);
  }

  private EngineState with(long avoidMs, int failed, double share, double latency) {
    return new EngineState(
        entry,
        held,
        heldAsOfOrders,
        dropping,
        inFlight,
        avoidMs,
        failed,
        share,
        latency,
        unlistedAtMs);
  }
}
