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
  /** There was no memory for the rest of a request; its caller got a reply. */
  NO_MEMORY,
  /** The caller took no byte of a response for longer than the configuration allows. */
  SLOW_READER,
  /** Reading from or writing to the connection failed. */
  CONNECTION_ERROR;

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
