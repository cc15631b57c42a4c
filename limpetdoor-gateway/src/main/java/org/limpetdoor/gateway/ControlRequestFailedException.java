package org.limpetdoor.gateway;

import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;

/** Thrown when a control request gets no complete response. */
public final class ControlRequestFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final boolean sent;

  /**
   * Creates the exception.
   *
   * @param address address that the request was for
   * @param sent whether the request may have been sent and taken effect
   * @param cause cause, or null if there is none
   */
  public ControlRequestFailedException(String address, boolean sent, Throwable cause) {
    super(
        sent ? "no complete response" : "connection failed",
        new SourceLocation("request to " + address, 0, 0),
        cause);
    this.sent = sent;
  }

  /** Returns whether the request may have been sent and taken effect. */
  public boolean sent() {
    return sent;
  }
}
