package org.limpetdoor.core.agreed;

import java.util.List;
import org.limpetdoor.core.agreed.LogRecord.LimitEpochStarted;
import org.limpetdoor.core.id.InstanceId;

/**
 * The division of the contract limits in force.
 *
 * @param epoch offset of the accepted record, or -1 before the first
 * @param members instances that started the epoch with equal shares
 */
public record LimitEpoch(long epoch, List<InstanceId> members) {
  /** No division. */
  public static final LimitEpoch NONE = new LimitEpoch(-1, List.of());

  /** Copies the members. */
  public LimitEpoch {
    members = List.copyOf(members);
  }

  FoldedPart<LimitEpoch> start(long offset, LimitEpochStarted record) {
    if (record.expectedEpoch() != epoch) {
      return new FoldedPart<>(this, FoldResult.EPOCH_SUPERSEDED);
    }
    return FoldedPart.accepted(new LimitEpoch(offset, record.members()));
  }
}
