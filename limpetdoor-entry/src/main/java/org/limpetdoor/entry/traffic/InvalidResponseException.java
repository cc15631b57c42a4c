package org.limpetdoor.entry.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown for a response of an engine or of the instance list that violates the protocol. */
final class InvalidResponseException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  InvalidResponseException(String message, Throwable cause) {
    super(message, null, cause);
  }
}
