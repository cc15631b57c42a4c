package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Counts engines lost by each call, so that a call that crashes engines is not run for ever. A call
 * is recognised by its fingerprint, since its caller sends it again at any instance.
 *
 * @param losses counts by fingerprint
 * @param unsent losses that peers were not told of yet, by fingerprint
 */
record CrashLedger(PMap<Long, Loss> losses, PMap<Long, Integer> unsent) {
  static final CrashLedger EMPTY = new CrashLedger(HashTreePMap.empty(), HashTreePMap.empty());

  /** Losses after which a call is refused; the platform allows three crashed engines. */
  private static final int MAX_LOSSES = 3;

  /** Time after the last loss at which a call is forgotten; its callers give up long before. */
  private static final long FORGET_MS = 60_000;

  /**
   * Losses of one call.
   *
   * @param count engines lost
   * @param lastMs when the last one was lost
   */
  record Loss(int count, long lastMs) {}

  boolean bans(long fingerprint) {
    Loss loss = losses.get(fingerprint);
    return loss != null && loss.count() >= MAX_LOSSES;
  }

  /** Notes that the connection was lost while an engine ran the call. */
  CrashLedger withOwnLoss(long fingerprint, long nowMs) {
    return new CrashLedger(
        added(fingerprint, 1, nowMs),
        unsent.plus(fingerprint, unsent.getOrDefault(fingerprint, 0) + 1));
  }

  /** Notes that the call was answered whole, so that it does not crash engines. */
  CrashLedger cleared(long fingerprint) {
    return losses.containsKey(fingerprint)
        ? new CrashLedger(losses.minus(fingerprint), unsent.minus(fingerprint))
        : this;
  }

  CrashLedger withPeerLosses(PMap<Long, Integer> counts, long nowMs) {
    CrashLedger result = this;
    for (var entry : counts.entrySet()) {
      result =
          new CrashLedger(result.added(entry.getKey(), entry.getValue(), nowMs), result.unsent);
    }
    return result;
  }

  /** Returns a copy after peers were told, without calls that were forgotten. */
  CrashLedger told(long nowMs) {
    PMap<Long, Loss> kept = losses;
    for (var entry : losses.entrySet()) {
      boolean old = nowMs - entry.getValue().lastMs() > FORGET_MS;
      kept = old ? kept.minus(entry.getKey()) : kept;
    }
    return new CrashLedger(kept, HashTreePMap.empty());
  }

  private PMap<Long, Loss> added(long fingerprint, int count, long nowMs) {
    Loss known = losses.getOrDefault(fingerprint, new Loss(0, nowMs));
    return losses.plus(fingerprint, new Loss(known.count() + count, nowMs));
  }
}
