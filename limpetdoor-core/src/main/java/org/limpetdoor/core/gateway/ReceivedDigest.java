package org.limpetdoor.core.gateway;

import org.limpetdoor.core.limits.AccountUsage.ReceivedReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/**
 * The last digest received from a peer. An outdated digest does not contribute to load and pace.
 *
 * @param digest content of the digest
 * @param recentUntilMs time from which the digest is outdated, in monotonic milliseconds
 */
record ReceivedDigest(LoadDigest digest, long recentUntilMs) {
  /** Number of ticks after which a digest from a hub to another is outdated. */
  private static final int RECENT_TICKS = 4;

  /** Number of ticks after which a digest between a hub and a spoke, sent half as often, is. */
  private static final int RECENT_SPOKE_TICKS = 6;

  /**
   * Age of the echoed time from which a report of use is outdated, in milliseconds: the digest that
   * is echoed and this one are each sent at most two ticks late, and the report counts for as long
   * as a digest between a hub and a spoke.
   */
  private static final long MAX_ECHO_AGE_MS =
      (RECENT_SPOKE_TICKS + 2 * RECENT_TICKS) * GatewayTick.INTERVAL_MS;

  static ReceivedDigest of(LoadDigest digest, long nowMs) {
    int ticks = digest.scope() == DigestScope.GROUP ? RECENT_TICKS : RECENT_SPOKE_TICKS;
    return new ReceivedDigest(digest, nowMs + ticks * GatewayTick.INTERVAL_MS);
  }

  /**
   * Returns the report of use with the time until which it counts. A process that was frozen
   * receives digests that were sent long before: the own time that a digest echoes shows it.
   */
  ReceivedReport useReport() {
    long echoedAtMs = digest.times().echoedAtMs();
    long untilMs =
        echoedAtMs == 0 ? recentUntilMs : Math.min(recentUntilMs, echoedAtMs + MAX_ECHO_AGE_MS);
    return new ReceivedReport(digest.use(), untilMs);
  }

  boolean isRecent(long nowMs) {
    return nowMs < recentUntilMs;
  }
}
