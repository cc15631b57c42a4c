package org.limpetdoor.runtime.log;

/** Ways in which a call of the log service fails. */
public enum LogFailure {
  /** No connection was made, so the call had no effect. */
  UNREACHABLE(true, false),
  /** The answer was lost; an append may have taken effect. */
  ANSWER_LOST(true, true),
  /** The log answered that it cannot serve now; an append may have taken effect. */
  UNAVAILABLE(true, true),
  /** The log refused the call as wrong. */
  REFUSED(false, false),
  /** The answer does not have the form of the protocol; an append may have taken effect. */
  MALFORMED_ANSWER(false, true);

  private final boolean mayRetry;
  private final boolean mayHaveTakenEffect;

  LogFailure(boolean mayRetry, boolean mayHaveTakenEffect) {
    this.mayRetry = mayRetry;
    this.mayHaveTakenEffect = mayHaveTakenEffect;
  }

  /** Returns whether the same call can succeed later. */
  public boolean mayRetry() {
    return mayRetry;
  }

  /** Returns whether an append may be in the log all the same. */
  public boolean mayHaveTakenEffect() {
    return mayHaveTakenEffect;
  }
}
