package org.limpetdoor.core;

/** How far the graceful shutdown of an instance has come. */
public enum DrainPhase {
  /** New requests are accepted. */
  SERVING(false),
  /** New requests are refused, accepted ones run on. */
  DRAINING(true),
  /** No accepted request is left. */
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
