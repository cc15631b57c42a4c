package org.limpetdoor.core.decision;

/** Reasons why a candidate back end was not chosen. */
public enum PassOverReason {
  /** Another candidate had a lower expected load. */
  HIGHER_LOAD("higher_load", false),
  /** All slots of the back end are in use. */
  NO_FREE_SLOT("no_free_slot", true),
  /** All slots available to long work are in use. */
  LONG_SLOTS_IN_USE("long_slots_in_use", true),
  /** The back end does not answer. */
  UNREACHABLE("unreachable", false),
  /** The back end is leaving. */
  LEAVING("leaving", false),
  /** An earlier attempt of the same request was sent to the back end. */
  ALREADY_TRIED("already_tried", false),
  /**
   * The request is suspected of crashing engines, and other requests are in flight at the engine.
   */
  NOT_IDLE("not_idle", true),
  /** The engine is running, or reserved for, a crash suspect that must run in isolation. */
  RESERVED_FOR_SUSPECT("reserved_for_suspect", true),
  /**
   * The engine would have to load the adapter, and adapter loads in flight have reached the
   * platform's limit.
   */
  ADAPTER_LOADS_AT_LIMIT("adapter_loads_at_limit", true);

  private final String label;
  private final boolean isTemporary;

  PassOverReason(String label, boolean isTemporary) {
    this.label = label;
    this.isTemporary = isTemporary;
  }

  /** Returns whether the reason can disappear when requests in flight end. */
  public boolean isTemporary() {
    return isTemporary;
  }

  /** Returns the value used in log lines and metrics. */
  public String label() {
    return label;
  }
}
