package org.limpetdoor.core.gateway;

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

  static ReceivedDigest of(LoadDigest digest, long nowMs) {
    int ticks = digest.scope() == DigestScope.GROUP ? RECENT_TICKS : RECENT_SPOKE_TICKS;
    return new ReceivedDigest(digest, nowMs + ticks * GatewayTick.INTERVAL_MS);
  }

  boolean isRecent(long nowMs) {
    return nowMs < recentUntilMs;
  }
}
