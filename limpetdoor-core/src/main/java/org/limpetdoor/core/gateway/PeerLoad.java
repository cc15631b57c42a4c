package org.limpetdoor.core.gateway;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;

/**
 * What a peer told of itself.
 *
 * @param digest its last digest
 * @param heardAtMs when it arrived, in monotonic milliseconds
 */
record PeerLoad(LoadDigest digest, long heardAtMs) {
  /** Age after which a digest says nothing about the present; four digests are missing then. */
  private static final long USABLE_MS = 1_000;

  boolean usable(long nowMs) {
    return nowMs - heardAtMs < USABLE_MS;
  }

  long gapMs(BackendId engine, long nowMs) {
    return usable(nowMs) ? digest.gapsMs().getOrDefault(engine, 0) : 0;
  }

  int inFlight(BackendId engine, long nowMs) {
    return usable(nowMs) ? digest.inFlight().getOrDefault(engine, 0) : 0;
  }
}
