package org.limpetdoor.runtime.log;

/** The ways in which a call to the log service can fail. */
public enum LogFailure {
  /** The connection could not be opened, so the call had no effect. */
  UNREACHABLE(true, false),
  /** No complete response arrived; an append may have taken effect. */
  ANSWER_LOST(true, true),
  /** The log service reported that it is unavailable; an append may have taken effect. */
  UNAVAILABLE(true, true),
  /** The log service rejected the call as invalid. */
  REFUSED(false, false),
  /** The response violates the protocol; an append may have taken effect. */
  MALFORMED_ANSWER(false, true);

  private final boolean mayRetry;
  private final boolean mayHaveTakenEffect;

  LogFailure(boolean mayRetry, boolean mayHaveTakenEffect) {
    this.mayRetry = mayRetry;
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns whether a retry of the same call can succeed. */
  public boolean mayRetry() {
    return mayRetry;
  }

  /** Returns whether a failed append may nevertheless be in the log. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
