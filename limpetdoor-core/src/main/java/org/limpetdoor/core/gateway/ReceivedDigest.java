package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/**
 * The last digest received from a peer.
 *
 * @param digest content of the digest
 * @param usableUntilMs time from which the digest is outdated, in monotonic milliseconds
 */
record ReceivedDigest(LoadDigest digest, long usableUntilMs) {
  /** Number of digest intervals after which a digest is outdated. */
  private static final int USABLE_INTERVALS = 4;

  static ReceivedDigest heard(NodeState node, LoadDigest digest) {
    return new ReceivedDigest(
        digest, node.nowMs() + USABLE_INTERVALS * GatewayTick.intervalMs(node));
  }

  boolean usable(long nowMs) {
    return nowMs < usableUntilMs;
  }

  long gapMs(BackendId engine, long nowMs) {
    return usable(nowMs) ? digest.gapsMs().getOrDefault(engine, 0) : 0;
  }

  int inFlight(BackendId engine, long nowMs) {
    return usable(nowMs) ? digest.inFlight().getOrDefault(engine, 0) : 0;
  }
}
