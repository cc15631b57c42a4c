package org.limpetdoor.core.gateway;

import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/**
 * The last digest received from a peer. An outdated digest does not contribute to load and pace.
 *
 * @param digest content of the digest
 * @param recentUntilMs time from which the digest is outdated, in monotonic milliseconds
 */
record ReceivedDigest(LoadDigest digest, long recentUntilMs) {
  /** Number of digest intervals after which a digest is outdated. */
  private static final int RECENT_INTERVALS = 4;

  static ReceivedDigest of(LoadDigest digest, long nowMs) {
    return new ReceivedDigest(digest, nowMs + RECENT_INTERVALS * GatewayTick.INTERVAL_MS);
  }

  boolean isRecent(long nowMs) {
    return nowMs < recentUntilMs;
  }
}
