package org.limpetdoor.core.placement;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Tracks when records of leases were received. Instances never compare clocks: each one measures on
 * its own clock how long a lease has been silent.
 *
 * @param lastReceivedAtMs time at which the last claim, renewal or release of each shard was read
 * @param ownEpochs epoch of each shard that this process has claimed. The lease of an earlier
 *     process with the same name is not included, because that process may still run.
 * @param trackingStartMs time from which silence is measured for shards without an entry
 * @param lastRenewedMs time at which this process last renewed its leases
 */
public record LeaseTracker(
    PMap<Integer, Long> lastReceivedAtMs,
    PMap<Integer, Long> ownEpochs,
    long trackingStartMs,
    long lastRenewedMs) {
  /** The state of an instance that has just started. */
  public static final LeaseTracker INITIAL =
      new LeaseTracker(HashTreePMap.empty(), HashTreePMap.empty(), 0, 0);

  /** Returns how long a shard has been silent, in milliseconds. */
  public long silentMs(int shard, long nowMs) {
    return nowMs - lastReceivedAtMs.getOrDefault(shard, trackingStartMs);
  }

  /** Returns the epoch that this process has claimed for a shard; it may be superseded. */
  public Optional<Long> ownEpoch(int shard) {
    return Optional.ofNullable(ownEpochs.get(shard));
  }

  LeaseTracker withReceivedAt(int shard, long nowMs) {
    return new LeaseTracker(
        lastReceivedAtMs.plus(shard, nowMs), ownEpochs, trackingStartMs, lastRenewedMs);
  }

  LeaseTracker withOwnEpoch(int shard, long epoch) {
    return new LeaseTracker(
        lastReceivedAtMs, ownEpochs.plus(shard, epoch), trackingStartMs, lastRenewedMs);
  }

  LeaseTracker withoutOwnEpoch(int shard) {
    return new LeaseTracker(
        lastReceivedAtMs, ownEpochs.minus(shard), trackingStartMs, lastRenewedMs);
  }

  LeaseTracker withTrackingRestarted(long nowMs) {
    return new LeaseTracker(HashTreePMap.empty(), ownEpochs, nowMs, lastRenewedMs);
  }

  LeaseTracker withRenewedAt(long nowMs) {
    return new LeaseTracker(lastReceivedAtMs, ownEpochs, trackingStartMs, nowMs);
  }
}
