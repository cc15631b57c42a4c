package org.limpetdoor.core.backend;

/**
 * Load reported by a back end. Reports lag, so they only correct this instance's own counts.
 *
 * @param receivedAtMs time at which this instance received the report, in monotonic milliseconds
 * @param running calls of all instances that the back end is running
 * @param queued calls of all instances that wait at the back end
 * @param ownInFlight calls of this instance that were in flight when the report was received
 */
public record LoadReport(long receivedAtMs, int running, int queued, int ownInFlight) {
  /** Returns the estimated number of calls of other instances at the back end. */
  public int callsOfOthers() {
    return Math.max(0, running + queued - ownInFlight);
  }
}
