package org.limpetdoor.format.peer;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a frame from a peer cannot be decoded. */
public final class MalformedFrameException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception that names what was expected. */
  public MalformedFrameException(String expected, Throwable cause) {
    super("malformed peer frame: expected " + expected, null, cause);
  }
}
