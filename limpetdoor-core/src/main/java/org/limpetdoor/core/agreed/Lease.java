package org.limpetdoor.core.agreed;

import java.util.Optional;
import org.limpetdoor.core.id.InstanceId;

/**
 * The lease of a shard.
 *
 * @param epoch offset of the accepted claim, or {@link #NO_EPOCH}
 * @param holder the holder, or empty after a release
 * @param ttlMs time without a renewal after which others may claim the lease, in milliseconds
 * @param lastRecordOffset offset of the last accepted claim, renewal or release
 */
public record Lease(long epoch, Optional<InstanceId> holder, long ttlMs, long lastRecordOffset) {
  /** Epoch before the first claim. */
  public static final long NO_EPOCH = -1;

  /** A lease that was never claimed. */
  public static final Lease UNCLAIMED = new Lease(NO_EPOCH, Optional.empty(), 0, -1);

  Lease renewedAt(long offset) {
    return new Lease(epoch, holder, ttlMs, offset);
  }

  Lease releasedAt(long offset) {
    return new Lease(epoch, Optional.empty(), ttlMs, offset);
  }
}
