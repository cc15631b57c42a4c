package org.limpetdoor.bench.traffic;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when an answer is not whole, which makes the figures of the run worthless. */
public final class TrafficFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  TrafficFailedException(String message, Throwable cause) {
    super(message, null, cause);
  }
}
