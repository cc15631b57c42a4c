package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Counts the connections lost while engines ran a request, so that a request that crashes engines
 * is refused after a few attempts. Requests are identified by fingerprint, because callers may send
 * them again to any instance.
 *
 * @param losses losses by fingerprint, including those reported by peers
 * @param unsent numbers of local losses not yet reported to peers, by fingerprint
 */
record CrashRecords(PMap<Long, Loss> losses, PMap<Long, Integer> unsent) {
  static final CrashRecords EMPTY = new CrashRecords(HashTreePMap.empty(), HashTreePMap.empty());

  /**
   * Number of losses from which a request is refused; the platform allows three crashed engines.
   */
  private static final int MAX_LOSSES = 3;

  /**
   * Time after the last loss at which the record of a request is removed, in milliseconds. Callers
   * stop retrying long before.
   */
  private static final long FORGET_MS = 60_000;

  /**
   * Losses attributed to one request.
   *
   * @param count number of losses
   * @param lastMs time of the last loss, in monotonic milliseconds
   */
  record Loss(int count, long lastMs) {}

  boolean bans(long fingerprint) {
    Loss loss = losses.get(fingerprint);
    return loss != null && loss.count() >= MAX_LOSSES;
  }

  /** Records that this instance lost the connection to an engine that was running the request. */
  CrashRecords withOwnLoss(long fingerprint, long nowMs) {
    return new CrashRecords(
        added(fingerprint, 1, nowMs),
        unsent.plus(fingerprint, unsent.getOrDefault(fingerprint, 0) + 1));
  }

  /** Removes the losses of a request that an engine has answered. */
  CrashRecords cleared(long fingerprint) {
    return losses.containsKey(fingerprint)
        ? new CrashRecords(losses.minus(fingerprint), unsent.minus(fingerprint))
        : this;
  }

  CrashRecords withPeerLosses(PMap<Long, Integer> counts, long nowMs) {
    CrashRecords result = this;
    for (var entry : counts.entrySet()) {
      result =
          new CrashRecords(result.added(entry.getKey(), entry.getValue(), nowMs), result.unsent);
    }
    return result;
  }

  /** Marks all losses as reported to peers and removes expired records. */
  CrashRecords told(long nowMs) {
    PMap<Long, Loss> kept = losses;
    for (var entry : losses.entrySet()) {
      boolean old = nowMs - entry.getValue().lastMs() > FORGET_MS;
      kept = old ? kept.minus(entry.getKey()) : kept;
    }
    return new CrashRecords(kept, HashTreePMap.empty());
  }

  private PMap<Long, Loss> added(long fingerprint, int count, long nowMs) {
    Loss known = losses.getOrDefault(fingerprint, new Loss(0, nowMs));
    return losses.plus(fingerprint, new Loss(known.count() + count, nowMs));
  }
}
