package org.limpetdoor.entry;

/** How a graceful shutdown ended. */
public enum DrainResult {
  /** Every open request ended. */
  ALL_ENDED(0),
  /** Requests were still open at the drain timeout; they are aborted. */
  TIMED_OUT(1),
  /** The server was closed before its open requests ended. */
  CLOSED(1);

  private final int exitCode;

  DrainResult(int exitCode) {
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public int exitCode() {
    return exitCode;
  }
}
