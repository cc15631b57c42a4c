package org.limpetdoor.core.gateway;

/** Result of an order to an engine. */
public enum EngineOrderResult {
  /** The engine accepted the order and carries it out. */
  ACCEPTED(true),
  /** The engine was already in the ordered state. */
  ALREADY_DONE(true),
  /** Another order is in progress, or the engine has accepted other orders than expected. */
  CONFLICT(false),
  /** The engine has seen a higher fencing number. */
  FENCED(false),
  /** The engine refused the order as invalid, or another engine has its address. */
  REFUSED(false),
  /** No response was received; the order may be carried out, now or later. */
  UNKNOWN(false);

  private final boolean effective;

  EngineOrderResult(boolean effective) {
    this.effective = effective;
  }

  /** Returns whether the engine carries the order out or was already in the ordered state. */
  public boolean effective() {
    return effective;
  }
}
