package org.limpetdoor.entry.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown for an answer of the platform that does not have the form of the protocol. */
final class InvalidAnswerException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  InvalidAnswerException(String message, Throwable cause) {
    super(message, null, cause);
  }
}
