package org.limpetdoor.core.decision;

/** Why a candidate back end was not chosen. */
public enum PassOverReason {
  /** Another candidate had a lower expected load. */
  HIGHER_LOAD("higher_load"),
  /** All slots of the back end are in use. */
  NO_FREE_SLOT("no_free_slot"),
  /** The back end does not answer. */
  UNREACHABLE("unreachable"),
  /** The back end is leaving. */
  LEAVING("leaving"),
  /** An earlier attempt of the same request went there. */
  ALREADY_TRIED("already_tried");

  private final String label;

  PassOverReason(String label) {
    this.label = label;
  }

  /** Returns the word used in log lines and metrics. */
  public String label() {
    return label;
  }
}
