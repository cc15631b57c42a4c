package org.limpetdoor.core.gateway;

import java.util.Map;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * The connections to engines that were lost while they ran a request, so that a request that
 * crashes engines is refused after a few attempts. Requests are identified by fingerprint, because
 * callers may send them again to any instance. Each loss has an identifier, so that one that is
 * reported on several ways counts once.
 *
 * @param losses losses by fingerprint, including those reported by peers
 * @param unreported losses not yet reported to peers, by fingerprint
 */
record CrashRecords(PMap<Long, EngineLosses> losses, PMap<Long, PSet<String>> unreported) {
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
   * @param lossIds identifiers of the losses
   * @param lastAtMs time of the last loss, in monotonic milliseconds
   */
  record EngineLosses(PSet<String> lossIds, long lastAtMs) {}

  boolean isBanned(long fingerprint) {
    EngineLosses recorded = losses.get(fingerprint);
    return recorded != null && recorded.lossIds().size() >= MAX_LOSSES;
  }

  /**
   * Records that the connection to an engine was lost while it ran the request. A loss that is not
   * known yet is reported to the peers.
   */
  CrashRecords withLoss(long fingerprint, String lossId, long nowMs) {
    EngineLosses current =
        losses.getOrDefault(fingerprint, new EngineLosses(HashTreePSet.empty(), nowMs));
    if (current.lossIds().contains(lossId)) {
      return this;
    }
    PSet<String> reports = unreported.getOrDefault(fingerprint, HashTreePSet.empty());
    return new CrashRecords(
        losses.plus(fingerprint, new EngineLosses(current.lossIds().plus(lossId), nowMs)),
        unreported.plus(fingerprint, reports.plus(lossId)));
  }

  /** Removes the losses of a request that an engine has answered. */
  CrashRecords withoutLosses(long fingerprint) {
    return losses.containsKey(fingerprint)
        ? new CrashRecords(losses.minus(fingerprint), unreported.minus(fingerprint))
        : this;
  }

  /** Records losses that a peer reported. */
  CrashRecords withPeerLosses(PMap<Long, PSet<String>> reported, long nowMs) {
    CrashRecords result = this;
    for (Map.Entry<Long, PSet<String>> entry : reported.entrySet()) {
      for (String lossId : entry.getValue()) {
        result = result.withLoss(entry.getKey(), lossId, nowMs);
      }
    }
    return result;
  }

  /** Marks all losses as reported to peers and removes expired records. */
  CrashRecords withAllReported(long nowMs) {
    PMap<Long, EngineLosses> retained = losses;
    for (Map.Entry<Long, EngineLosses> entry : losses.entrySet()) {
      boolean expired = nowMs - entry.getValue().lastAtMs() > RETENTION_MS;
      retained = expired ? retained.minus(entry.getKey()) : retained;
    }
    return new CrashRecords(retained, HashTreePMap.empty());
  }
}
