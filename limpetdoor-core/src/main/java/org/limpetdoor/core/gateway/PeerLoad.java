package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/**
 * What a peer told of itself.
 *
 * @param digest its last digest
 * @param usableUntilMs time from which it says nothing about the present
 */
record PeerLoad(LoadDigest digest, long usableUntilMs) {
  /** Digests that are missing when the last one says nothing about the present any more. */
  private static final int USABLE_INTERVALS = 4;

  static PeerLoad heard(NodeState node, LoadDigest digest) {
    return new PeerLoad(digest, node.nowMs() + USABLE_INTERVALS * GatewayTick.intervalMs(node));
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
