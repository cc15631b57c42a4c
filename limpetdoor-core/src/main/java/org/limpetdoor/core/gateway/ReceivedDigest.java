package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;
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

  static ReceivedDigest of(NodeState node, LoadDigest digest) {
    return new ReceivedDigest(
        digest, node.nowMs() + RECENT_INTERVALS * GatewayTick.intervalMs(node));
  }

  boolean isRecent(long nowMs) {
    return nowMs < recentUntilMs;
  }

  long gapMs(BackendId engine, long nowMs) {
    return isRecent(nowMs) ? digest.gapsMs().getOrDefault(engine, 0) : 0;
  }

  int inFlight(BackendId engine, long nowMs) {
    return isRecent(nowMs) ? digest.inFlight().getOrDefault(engine, 0) : 0;
  }
}
