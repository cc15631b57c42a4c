package org.limpetdoor.bench.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when an answer is incomplete or a thread ends, which invalidates the measurement. */
public final class TrafficFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  TrafficFailedException(String message, Throwable cause) {
    super(message, null, cause);
  }
}
