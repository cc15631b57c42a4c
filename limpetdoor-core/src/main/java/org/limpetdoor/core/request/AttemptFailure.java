package org.limpetdoor.core.request;

/** How an attempt on a back end failed. */
public enum AttemptFailure {
  /** The request could not be built or encoded on this side, so no byte was handed over. */
  NOT_SENT(false, false),
  /** No connection could be opened, so no byte was handed over. */
  CONNECT_FAILED(false, true),
  /** The back end answered that it did not start the call, for example because it is draining. */
  NOT_STARTED(false, false),
  /** The connection broke after the request was handed over. */
  CONNECTION_LOST(true, true),
  /** The back end was silent for longer than expected. */
  TIMED_OUT(true, true),
  /** The back end answered with an error after it had started. */
  ERROR_ANSWER(true, false);

  private final boolean mayHaveRun;
  private final boolean backendSuspect;

  AttemptFailure(boolean mayHaveRun, boolean backendSuspect) {
    this.mayHaveRun = mayHaveRun;
    this.backendSuspect = backendSuspect;
  }

  /** Returns whether the call may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the failure says something against the back end rather than the request. */
  public boolean backendSuspect() {
    return backendSuspect;
  }
}
