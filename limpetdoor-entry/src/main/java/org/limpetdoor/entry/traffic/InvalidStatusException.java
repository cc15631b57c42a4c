package org.limpetdoor.entry.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown for a response of an engine whose status HTTP does not define. */
final class InvalidStatusException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  InvalidStatusException(String status) {
    super("invalid status " + status, null, null);
  }
}
