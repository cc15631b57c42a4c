package org.limpetdoor.core;

/** Phases of the graceful shutdown of an instance. */
public enum DrainPhase {
  /** New requests are accepted. */
  SERVING(false),
  /** New requests are refused; accepted ones continue. */
  DRAINING(true),
  /** The instance has stopped: all accepted requests ended, or the drain timed out. */
  STOPPED(true);

  private final boolean refusesArrivals;

  DrainPhase(boolean refusesArrivals) {
    this.refusesArrivals = refusesArrivals;
  }

  /** Returns whether new requests are refused. */
  public boolean refusesArrivals() {
    return refusesArrivals;
  }
}
