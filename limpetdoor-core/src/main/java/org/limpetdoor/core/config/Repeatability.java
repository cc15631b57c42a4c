package org.limpetdoor.core.config;

/** Whether a call may be sent more than once. */
public enum Repeatability {
  /**
   * Running the call twice has the same result as running it once, so it may be retried and hedged.
   */
  IDEMPOTENT(true),
  /**
   * The call must run at most once, so it is never retried or hedged after it may have reached a
   * back end.
   */
  AT_MOST_ONCE(false);

  private final boolean mayRepeat;

  Repeatability(boolean mayRepeat) {
    this.mayRepeat = mayRepeat;
  }

  /** Returns whether the call may be sent again after it may have run. */
  public boolean mayRepeat() {
    return mayRepeat;
  }
}
