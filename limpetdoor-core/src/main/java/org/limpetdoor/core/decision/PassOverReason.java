package org.limpetdoor.core.decision;

/** Why a candidate back end was not chosen. */
public enum PassOverReason {
  /** Another candidate had a lower expected load. */
  HIGHER_LOAD("higher_load", false),
  /** All slots of the back end are in use. */
  NO_FREE_SLOT("no_free_slot", true),
  /** The slots that long work may hold are in use. */
  LONG_SLOTS_IN_USE("long_slots_in_use", true),
  /** The back end does not answer. */
  UNREACHABLE("unreachable", false),
  /** The back end is leaving. */
  LEAVING("leaving", false),
  /** An earlier attempt of the same request went there. */
  ALREADY_TRIED("already_tried", false),
  /** The engine would have to load the adapter, and as many loads run as the platform allows. */
  ADAPTER_LOADS_AT_LIMIT("adapter_loads_at_limit", true);

  private final String label;
  private final boolean endsByWaiting;

  PassOverReason(String label, boolean endsByWaiting) {
    this.label = label;
    this.endsByWaiting = endsByWaiting;
  }

  /** Returns whether the obstacle goes away when requests in flight end. */
  public boolean endsByWaiting() {
    return endsByWaiting;
  }

  /** Returns the word used in log lines and metrics. */
  public String label() {
    return label;
  }
}
