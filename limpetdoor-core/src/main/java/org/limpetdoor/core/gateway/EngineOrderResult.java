package org.limpetdoor.core.gateway;

/** What became of an order to an engine. */
public enum EngineOrderResult {
  /** The engine carries it out. */
  ACCEPTED(true),
  /** What was ordered already holds. */
  ALREADY_DONE(true),
  /** Another order is in progress, or the engine has accepted other orders than expected. */
  CONFLICT(false),
  /** The engine has seen a higher fencing number. */
  FENCED(false),
  /** The engine refused the order as wrong, or another engine has its address. */
  REFUSED(false),
  /** No answer came; the order may be carried out, now or later. */
  UNKNOWN(false);

  private final boolean effective;

  EngineOrderResult(boolean effective) {
    this.effective = effective;
  }

  /** Returns whether the engine does or has done what was ordered. */
  public boolean effective() {
    return effective;
  }
}
