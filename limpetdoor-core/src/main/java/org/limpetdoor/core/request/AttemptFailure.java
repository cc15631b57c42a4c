package org.limpetdoor.core.request;

/** How an attempt on a back end failed. */
public enum AttemptFailure {
  /** This instance could not build or encode the request, so no byte was sent. */
  NOT_SENT(false, false, RefusalReason.REQUEST_NOT_SENT),
  /** No connection could be opened, so no byte was sent. */
  CONNECT_FAILED(false, true, RefusalReason.BACKEND_FAILED),
  /** The back end answered that it did not start the call, for example because it is draining. */
  NOT_STARTED(false, false, RefusalReason.BACKEND_FAILED),
  /** The connection broke after the request was sent. */
  CONNECTION_LOST(true, true, RefusalReason.BACKEND_FAILED),
  /** The back end sent nothing until the timeout. */
  TIMED_OUT(true, true, RefusalReason.BACKEND_TIMEOUT),
  /** The bytes that the back end sent are no response. */
  INVALID_ANSWER(true, true, RefusalReason.BACKEND_FAILED),
  /** The back end answered with an error after it had started the call. */
  ERROR_ANSWER(true, false, RefusalReason.BACKEND_FAILED);

  private final boolean mayHaveRun;
  private final boolean indicatesBackendFault;
  private final RefusalReason refusalReason;

  AttemptFailure(boolean mayHaveRun, boolean indicatesBackendFault, RefusalReason refusalReason) {
    this.mayHaveRun = mayHaveRun;
    this.indicatesBackendFault = indicatesBackendFault;
    this.refusalReason = refusalReason;
  }

  /** Returns whether the back end may have run the call. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the failure is evidence of a faulty back end rather than a faulty request. */
  public boolean indicatesBackendFault() {
    return indicatesBackendFault;
  }

  /**
   * Returns whether an attempt on another back end may succeed; it cannot if the request cannot be
   * encoded.
   */
  public boolean isRetryable() {
    return this != NOT_SENT;
  }

  /** Returns the reason for refusing a request whose last attempt ended with this failure. */
  public RefusalReason refusalReason() {
    return refusalReason;
  }
}
