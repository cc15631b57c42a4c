package org.limpetdoor.format.peer;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a frame between instances cannot be decoded or encoded. */
public final class MalformedFrameException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param expected noun phrase for the expected content
   * @param cause cause, or null
   */
  public MalformedFrameException(String expected, Throwable cause) {
    super("malformed peer frame: expected " + expected, null, cause);
  }
}
