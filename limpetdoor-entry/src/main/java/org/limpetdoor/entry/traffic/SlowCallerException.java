package org.limpetdoor.entry.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Terminates the stream of a caller that has not read for too long. */
final class SlowCallerException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  SlowCallerException(long silentMs) {
    super("caller has not read for " + silentMs + " ms", null);
  }
}
