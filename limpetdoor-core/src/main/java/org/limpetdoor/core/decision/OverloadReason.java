package org.limpetdoor.core.decision;

import java.util.Locale;

/** Reasons for which an instance refuses what a peer sends or closes its connection. */
public enum OverloadReason {
  /** A request head had more header lines than one head may have. */
  HEADER_LINES,
  /** There was no memory for the request heads of all connections. */
  HEAD_MEMORY,
  /** There were too many connections of one address or in total. */
  CONNECTIONS,
  /** A peer took no byte of a response for too long. */
  SLOW_READER;

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
