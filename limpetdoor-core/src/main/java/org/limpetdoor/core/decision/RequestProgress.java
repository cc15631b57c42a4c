package org.limpetdoor.core.decision;

import java.util.Locale;

/** Progress of the current request on the connection of a caller. */
public enum RequestProgress {
  /** No request has been received since the last response. */
  NONE,
  /** Part of a request has been received. */
  READING,
  /** A complete request has been received and has no complete response. */
  OPEN,
  /** The response is complete, but part of it has not been sent yet. */
  RESPONDING;

  /** Returns the name for log lines. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
