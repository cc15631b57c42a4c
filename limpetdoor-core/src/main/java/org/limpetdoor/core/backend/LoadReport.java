package org.limpetdoor.core.backend;

/**
 * Load as a back end reported it. Reports lag, so they are only a correction to the instance's own
 * counts.
 *
 * @param reportedAtMs when this instance received the report, in monotonic milliseconds
 * @param running calls in execution over all instances
 * @param queued calls that wait at the back end
 * @param own calls of this instance that were in flight when the report was received
 */
public record LoadReport(long reportedAtMs, int running, int queued, int own) {
  /** Returns the estimated calls of other instances. */
  public int ofOthers() {
    return Math.max(0, running + queued - own);
  }
}
