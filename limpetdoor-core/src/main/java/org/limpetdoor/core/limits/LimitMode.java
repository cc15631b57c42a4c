package org.limpetdoor.core.limits;

import org.limpetdoor.core.agreed.LimitEpoch;
import org.limpetdoor.core.agreed.LogReader;
import org.limpetdoor.core.id.InstanceId;

/** How an instance derives its share of the contract limits from the limit epochs. */
public enum LimitMode {
  /** Every instance uses the whole limits. Used by reducers that take no part in the agreement. */
  WHOLE {
    @Override
    double usableShare(ShareTable table, long nowMs) {
      return 1;
    }
  },
  /**
   * An instance uses its share of the newest epoch that it has read, even while the log is
   * unavailable, and the whole limits before the first epoch. While instances join or leave, or
   * while one cannot read the log, the sum over instances can exceed the contract.
   */
  AVAILABLE {
    @Override
    double usableShare(ShareTable table, long nowMs) {
      return table.epoch() == LimitEpoch.NONE.epoch() ? 1 : table.share();
    }

    @Override
    double share(LimitEpoch epoch, InstanceId self) {
      int additionalMembers = epoch.members().contains(self) ? 0 : 1;
      return 1.0 / (epoch.members().size() + additionalMembers);
    }
  },
  /**
   * The sum over instances never exceeds the contract. In return, an instance that has not read the
   * log for {@link ShareTable#TTL_MS} refuses all requests, and a new instance waits as long for
   * its share.
   */
  STRICT {
    @Override
    double usableShare(ShareTable table, long nowMs) {
      boolean fresh =
          table.completeAtMs() != LogReader.NEVER
              && nowMs - table.completeAtMs() <= ShareTable.TTL_MS;
      return fresh ? table.smallestShareAt(nowMs) : 0;
    }
  };

  /** Returns the share that may be used at a time, from 0 to 1. */
  abstract double usableShare(ShareTable table, long nowMs);

  /** Returns the share of an instance in an epoch, from 0 to 1. */
  double share(LimitEpoch epoch, InstanceId self) {
    boolean member = epoch.members().contains(self);
    return member ? 1.0 / epoch.members().size() : 0;
  }
}
