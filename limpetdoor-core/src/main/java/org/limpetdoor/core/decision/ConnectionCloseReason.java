package org.limpetdoor.core.decision;

import java.util.Locale;

/** Reasons for which the instance closes the connection of a caller. */
public enum ConnectionCloseReason {
  /** The connection was idle for longer than the configuration allows. */
  IDLE_TIMEOUT,
  /** A graceful shutdown has begun, and the connection is idle. */
  DRAIN,
  /** The process ends. */
  STOP,
  /** Reading from or writing to the connection failed. */
  CONNECTION_ERROR;

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
