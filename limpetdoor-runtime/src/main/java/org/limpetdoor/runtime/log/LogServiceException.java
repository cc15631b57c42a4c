package org.limpetdoor.runtime.log;

import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;

/** Thrown when a call to the log service fails. */
public final class LogServiceException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final LogFailure failure;

  /**
   * Creates the exception.
   *
   * @param failure way in which the call failed
   * @param address address of the log service
   * @param message description of the failure
   * @param cause cause, or null
   */
  public LogServiceException(LogFailure failure, String address, String message, Throwable cause) {
    super(message, new SourceLocation("log " + address, 0, 0), cause);
    this.failure = failure;
  }

  /** Returns the way in which the call failed. */
  public LogFailure failure() {
    return failure;
  }
}
