package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Counts the connections lost while engines ran a request, so that a request that crashes engines
 * is refused after a few attempts. Requests are identified by fingerprint, because callers may send
 * them again to any instance.
 *
 * @param losses losses by fingerprint, including those reported by peers
 * @param unreported numbers of local losses not yet reported to peers, by fingerprint
 */
record CrashRecords(PMap<Long, EngineLosses> losses, PMap<Long, Integer> unreported) {
  static final CrashRecords EMPTY = new CrashRecords(HashTreePMap.empty(), HashTreePMap.empty());

  /**
   * Number of losses from which a request is refused; the platform allows three crashed engines.
   */
  private static final int MAX_LOSSES = 3;

  /**
   * Time after the last loss at which the record of a request is removed, in milliseconds. Callers
   * stop retrying long before.
   */
  private static final long RETENTION_MS = 60_000;

  /**
   * Losses attributed to one request.
   *
   * @param count number of losses
   * @param lastAtMs time of the last loss, in monotonic milliseconds
   */
  record EngineLosses(int count, long lastAtMs) {}

  boolean isBanned(long fingerprint) {
    EngineLosses recorded = losses.get(fingerprint);
    return recorded != null && recorded.count() >= MAX_LOSSES;
  }

  /** Records that this instance lost the connection to an engine that was running the request. */
  CrashRecords withLocalLoss(long fingerprint, long nowMs) {
    return new CrashRecords(
        addLosses(fingerprint, 1, nowMs),
        unreported.plus(fingerprint, unreported.getOrDefault(fingerprint, 0) + 1));
  }

  /** Removes the losses of a request that an engine has answered. */
  CrashRecords withoutLosses(long fingerprint) {
    return losses.containsKey(fingerprint)
        ? new CrashRecords(losses.minus(fingerprint), unreported.minus(fingerprint))
        : this;
  }

  CrashRecords withPeerLosses(PMap<Long, Integer> counts, long nowMs) {
    CrashRecords result = this;
    for (var entry : counts.entrySet()) {
      result =
          new CrashRecords(
              result.addLosses(entry.getKey(), entry.getValue(), nowMs), result.unreported);
    }
    return result;
  }

  /** Marks all losses as reported to peers and removes expired records. */
  CrashRecords withAllReported(long nowMs) {
    PMap<Long, EngineLosses> retained = losses;
    for (var entry : losses.entrySet()) {
      boolean expired = nowMs - entry.getValue().lastAtMs() > RETENTION_MS;
      retained = expired ? retained.minus(entry.getKey()) : retained;
    }
    return new CrashRecords(retained, HashTreePMap.empty());
  }

  private PMap<Long, EngineLosses> addLosses(long fingerprint, int count, long nowMs) {
    EngineLosses current = losses.getOrDefault(fingerprint, new EngineLosses(0, nowMs));
    return losses.plus(fingerprint, new EngineLosses(current.count() + count, nowMs));
  }
}
