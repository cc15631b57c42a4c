package org.limpetdoor.format.settings;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a reference to a secret names no place or two places. */
final class AmbiguousSecretException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  AmbiguousSecretException() {
    super("expected either \"file\" or \"environment\"", null);
  }
}
