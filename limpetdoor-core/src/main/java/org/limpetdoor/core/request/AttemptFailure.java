package org.limpetdoor.core.request;

/** How an attempt on a back end failed. */
public enum AttemptFailure {
  /** The request could not be built or encoded on this side, so no byte was handed over. */
  NOT_SENT(false, false, RefusalReason.REQUEST_NOT_SENT),
  /** No connection could be opened, so no byte was handed over. */
  CONNECT_FAILED(false, true, RefusalReason.BACKEND_FAILED),
  /** The back end answered that it did not start the call, for example because it is draining. */
  NOT_STARTED(false, false, RefusalReason.BACKEND_FAILED),
  /** The connection broke after the request was handed over. */
  CONNECTION_LOST(true, true, RefusalReason.BACKEND_FAILED),
  /** The back end was silent for longer than expected. */
  TIMED_OUT(true, true, RefusalReason.BACKEND_TIMEOUT),
  /** The back end answered with an error after it had started. */
  ERROR_ANSWER(true, false, RefusalReason.BACKEND_FAILED);

  private final boolean mayHaveRun;
  private final boolean indicatesBackendFault;
  private final RefusalReason refusalReason;

  AttemptFailure(boolean mayHaveRun, boolean backendSuspect, RefusalReason refusalReason) {
    this.mayHaveRun = mayHaveRun;
    this.indicatesBackendFault = backendSuspect;
    this.refusalReason = refusalReason;
  }

  /** Returns whether the call may have run. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the failure says something against the back end rather than the request. */
  public boolean indicatesBackendFault() {
    return indicatesBackendFault;
  }

  /** Returns whether another back end could succeed; a request that cannot be sent never can. */
  public boolean isRetryable() {
    return this != NOT_SENT;
  }

  /** Returns the reason for refusing a request whose last attempt failed so. */
  public RefusalReason refusalReason() {
    return refusalReason;
  }
}
