package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.agreed.LogRecord.LeaseClaimed;
import org.limpetdoor.core.agreed.LogRecord.LeaseReleased;
import org.limpetdoor.core.agreed.LogRecord.LeaseRenewed;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * The leases of all shards.
 *
 * @param byShard lease of each shard that was ever claimed
 */
public record Leases(PMap<Integer, Lease> byShard) {
  /** No leases. */
  public static final Leases NONE = new Leases(HashTreePMap.empty());

  /** Returns the lease of a shard. */
  public Lease get(int shard) {
    return byShard.getOrDefault(shard, Lease.VACANT);
  }

  /** Returns whether an epoch is the current one of a shard and the lease is held. */
  public boolean isCurrent(int shard, long epoch) {
    Lease lease = get(shard);
    return lease.epoch() == epoch && lease.holder().isPresent();
  }

  Folded<Leases> claim(long offset, LeaseClaimed record) {
    if (get(record.shard()).epoch() != record.expectedEpoch()) {
      return new Folded<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    Lease lease = new Lease(offset, Optional.of(record.holder()), record.ttlMs(), offset);
    return Folded.accepted(new Leases(byShard.plus(record.shard(), lease)));
  }

  Folded<Leases> renew(long offset, LeaseRenewed record) {
    if (!isCurrent(record.shard(), record.epoch())) {
      return new Folded<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    Lease lease = get(record.shard()).heardAt(offset);
    return Folded.accepted(new Leases(byShard.plus(record.shard(), lease)));
  }

  Folded<Leases> release(long offset, LeaseReleased record) {
    if (!isCurrent(record.shard(), record.epoch())) {
      return new Folded<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    Lease lease = get(record.shard()).releasedAt(offset);
    return Folded.accepted(new Leases(byShard.plus(record.shard(), lease)));
  }
}
