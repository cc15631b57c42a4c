package org.limpetdoor.core.placement;

import java.util.Optional;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Own view of the leases. Instances never compare clocks: each one measures on its own clock how
 * long a lease has been silent.
 *
 * @param heardMs when the last claim or renewal of a shard was read
 * @param ownEpochs epochs that this process has claimed. A lease of an earlier process with the
 *     same name is not among them, because that process may still run.
 * @param baseMs time from which silence counts for shards without an entry
 * @param renewedMs when the own leases were last renewed
 */
public record LeaseKeeper(
    PMap<Integer, Long> heardMs, PMap<Integer, Long> ownEpochs, long baseMs, long renewedMs) {
  /** The view of an instance that has just started. */
  public static final LeaseKeeper INITIAL =
      new LeaseKeeper(HashTreePMap.empty(), HashTreePMap.empty(), 0, 0);

  /** Returns how long a shard has been silent, in milliseconds. */
  public long silentMs(int shard, long nowMs) {
    return nowMs - heardMs.getOrDefault(shard, baseMs);
  }

  /** Returns the epoch that this process has claimed for a shard; it may be superseded. */
  public Optional<Long> ownEpoch(int shard) {
    return Optional.ofNullable(ownEpochs.get(shard));
  }

  LeaseKeeper heard(int shard, long nowMs) {
    return new LeaseKeeper(heardMs.plus(shard, nowMs), ownEpochs, baseMs, renewedMs);
  }

  LeaseKeeper withOwn(int shard, long epoch) {
    return new LeaseKeeper(heardMs, ownEpochs.plus(shard, epoch), baseMs, renewedMs);
  }

  LeaseKeeper withoutOwn(int shard) {
    return new LeaseKeeper(heardMs, ownEpochs.minus(shard), baseMs, renewedMs);
  }

  LeaseKeeper restartedAt(long nowMs) {
    return new LeaseKeeper(HashTreePMap.empty(), ownEpochs, nowMs, renewedMs);
  }

  LeaseKeeper renewedAt(long nowMs) {
    return new LeaseKeeper(heardMs, ownEpochs, baseMs, nowMs);
  }
}
