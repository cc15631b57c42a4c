package org.limpetdoor.entry.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown for a response of an engine or of the instance list that violates the protocol. */
final class InvalidAnswerException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  InvalidAnswerException(String message, Throwable cause) {
    super(message, null, cause);
  }
}
