package org.limpetdoor.core.backend;

/**
 * Load reported by a back end. Reports lag, so they only correct this instance's own counts.
 *
 * @param reportedAtMs time at which this instance received the report, in monotonic milliseconds
 * @param running calls of all instances that the back end is running
 * @param queued calls of all instances that wait at the back end
 * @param own calls of this instance that were in flight when the report was received
 */
public record LoadReport(long reportedAtMs, int running, int queued, int own) {
  /** Returns the estimated number of calls of other instances at the back end. */
  public int ofOthers() {
    return Math.max(0, running + queued - own);
  }
}
