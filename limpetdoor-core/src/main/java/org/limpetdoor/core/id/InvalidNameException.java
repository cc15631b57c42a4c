package org.limpetdoor.core.id;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a name does not have the accepted format. */
public final class InvalidNameException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  InvalidNameException(String value) {
    super(
        "invalid name '"
            + value
            + "': expected 1 to 128 letters, digits or the characters . _ - : /",
        null);
  }
}
