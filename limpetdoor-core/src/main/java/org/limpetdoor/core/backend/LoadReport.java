package org.limpetdoor.core.backend;

/**
 * Load as a back end reported it. Reports lag, so they are only a correction to the instance's own
 * counts.
 *
 * @param reportedAtMs when this instance received the report, in monotonic milliseconds
 * @param running calls in execution over all instances
 * @param queued calls that wait at the back end
 */
public record LoadReport(long reportedAtMs, int running, int queued) {}
