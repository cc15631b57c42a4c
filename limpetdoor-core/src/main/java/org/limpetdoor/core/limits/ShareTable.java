package org.limpetdoor.core.limits;

import org.limpetdoor.core.agreed.LimitEpoch;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.id.InstanceId;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * The share of the contract limits that this instance holds. An instance may apply an earlier limit
 * epoch until {@link #TTL_MS} after its last complete read of the log, so each instance uses the
 * smallest of its shares in all epochs that another instance may still apply.
 *
 * @param mode how the share in use is derived from the epochs
 * @param epoch newest limit epoch that was read
 * @param share own share in that epoch, from 0 to 1
 * @param earlier own shares in earlier epochs that other instances may still apply
 * @param epochReadAtMs time at which the newest epoch was read, in monotonic milliseconds
 * @param completeAtMs time of the log up to which all records were read, or {@link LogReader#NEVER}
 * @param membersDifferSinceMs time since which the live instances have differed from the members of
 *     the epoch, in monotonic milliseconds, or {@link LogReader#NEVER}
 */
public record ShareTable(
    LimitMode mode,
    long epoch,
    double share,
    PVector<EarlierShare> earlier,
    long epochReadAtMs,
    long completeAtMs,
    long membersDifferSinceMs) {
  /**
   * Time without a complete read of the log after which a share may no longer be used, in
   * milliseconds. Longer values tolerate longer outages of the log but delay the shares of new
   * instances by as much.
   */
  public static final long TTL_MS = 30_000;

  /**
   * Time for which an earlier epoch still limits the own share, in milliseconds. It is longer than
   * {@link #TTL_MS} because the clock rates of instances may differ by 3%.
   */
  static final long RETAIN_MS = TTL_MS + 1_000;

  /** The initial table, and the table of a reducer that takes no part in the agreement. */
  public static final ShareTable INITIAL =
      new ShareTable(
          LimitMode.WHOLE, LimitEpoch.NONE.epoch(), 0, TreePVector.empty(), 0, LogReader.NEVER, 0);

  /**
   * The own share in an earlier epoch that other instances may still apply.
   *
   * @param share the share, from 0 to 1
   * @param untilMs time from which no instance applies the epoch any more, in monotonic
   *     milliseconds
   */
  public record EarlierShare(double share, long untilMs) {}

  /** Returns the share that may be used at a time, from 0 to 1. */
  public double usableShareAt(long nowMs) {
    return mode.usableShare(this, nowMs);
  }

  /** Returns the smallest of the own shares in all epochs that other instances may still apply. */
  double smallestShareAt(long nowMs) {
    double smallest = share;
    for (EarlierShare entry : earlier) {
      smallest = nowMs < entry.untilMs() ? Math.min(smallest, entry.share()) : smallest;
    }
    return smallest;
  }

  ShareTable withMode(LimitMode value) {
    return new ShareTable(
        value, epoch, share, earlier, epochReadAtMs, completeAtMs, LogReader.NEVER);
  }

  ShareTable withCompleteAt(long value) {
    long latest = Math.max(completeAtMs, value);
    return new ShareTable(mode, epoch, share, earlier, epochReadAtMs, latest, membersDifferSinceMs);
  }

  ShareTable withMembersDifferSince(long value) {
    return new ShareTable(mode, epoch, share, earlier, epochReadAtMs, completeAtMs, value);
  }

  /** Returns a copy with a new epoch. Other instances may apply the previous one for a while. */
  ShareTable withNextEpoch(LimitEpoch next, InstanceId self, long nowMs) {
    boolean first = epoch == LimitEpoch.NONE.epoch();
    return withEpoch(next, self, nowMs, first ? unexpired(nowMs) : retained(share, nowMs));
  }

  /**
   * Returns a copy with an epoch whose predecessors are unknown. Other instances may still apply
   * any of them.
   */
  ShareTable withSnapshotEpoch(LimitEpoch next, InstanceId self, long nowMs) {
    return withEpoch(next, self, nowMs, retained(0, nowMs));
  }

  private ShareTable withEpoch(
      LimitEpoch next, InstanceId self, long nowMs, PVector<EarlierShare> retained) {
    double ownShare = mode.share(next, self);
    return new ShareTable(
        mode, next.epoch(), ownShare, retained, nowMs, completeAtMs, LogReader.NEVER);
  }

  private PVector<EarlierShare> retained(double earlierShare, long nowMs) {
    return unexpired(nowMs).plus(new EarlierShare(earlierShare, nowMs + RETAIN_MS));
  }

  private PVector<EarlierShare> unexpired(long nowMs) {
    return TreePVector.from(earlier.stream().filter(entry -> nowMs < entry.untilMs()).toList());
  }
}
