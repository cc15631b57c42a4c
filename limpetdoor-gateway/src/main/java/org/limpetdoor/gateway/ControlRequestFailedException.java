package org.limpetdoor.gateway;

import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;

/** Thrown when a small call has no whole answer. */
public final class ControlRequestFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the exception.
   *
   * @param address address that was called
   * @param sent whether the call may have taken effect
   * @param cause cause, or null
   */
  public ControlRequestFailedException(String address, boolean sent, Throwable cause) {
    super(
        sent ? "no answer in time" : "no connection",
        new SourceLocation("call " + address, 0, 0),
        cause);
    this.sent = sent;
  }

  /** Returns whether the call may have taken effect. */
  public boolean sent() {
    return sent;
  }
}
