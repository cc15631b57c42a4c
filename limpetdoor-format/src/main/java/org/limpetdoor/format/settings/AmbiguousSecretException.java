package org.limpetdoor.format.settings;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a secret reference has neither or both of its two alternative fields. */
final class AmbiguousSecretException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  AmbiguousSecretException() {
    super("expected either \"file\" or \"environment\"", null);
  }
}
