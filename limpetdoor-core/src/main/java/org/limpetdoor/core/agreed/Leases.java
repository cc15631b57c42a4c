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
    return byShard.getOrDefault(shard, Lease.UNCLAIMED);
  }

  /** Returns whether an epoch is the current one of a shard and the lease is held. */
  public boolean isCurrent(int shard, long epoch) {
    Lease lease = get(shard);
    return lease.epoch() == epoch && lease.holder().isPresent();
  }

  FoldedPart<Leases> claim(long offset, LeaseClaimed record) {
    if (get(record.shard()).epoch() != record.expectedEpoch()) {
      return new FoldedPart<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    Lease lease = new Lease(offset, Optional.of(record.holder()), record.ttlMs(), offset);
    return FoldedPart.accepted(new Leases(byShard.plus(record.shard(), lease)));
  }

  FoldedPart<Leases> renew(long offset, LeaseRenewed record) {
    if (!isCurrent(record.shard(), record.epoch())) {
      return new FoldedPart<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    Lease lease = get(record.shard()).renewedAt(offset);
    return FoldedPart.accepted(new Leases(byShard.plus(record.shard(), lease)));
  }

  FoldedPart<Leases> release(long offset, LeaseReleased record) {
    if (!isCurrent(record.shard(), record.epoch())) {
      return new FoldedPart<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    Lease lease = get(record.shard()).releasedAt(offset);
    return FoldedPart.accepted(new Leases(byShard.plus(record.shard(), lease)));
  }
}
