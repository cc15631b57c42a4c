package org.limpetdoor.core.placement;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.BackendId;

/**
 * Division of the platform's load limits over the shards. The parts add up to the limit, so holders
 * keep it without asking each other.
 */
public final class StoreShares {
  private StoreShares() {}

  /** Returns one of several parts of a total; the parts differ by at most 1 and add up to it. */
  public static int part(int total, int parts, int index) {
    return total / parts + (index < total % parts ? 1 : 0);
  }

  /** Returns the adapter loads that the holder of a shard may have in flight. */
  public static int adapterLoadsAtOnce(PlatformLimits limits, int shard) {
    return part(limits.adapterLoadsAtOnce(), Shards.COUNT, shard);
  }

  /** Returns the time from one load of a shard to its next, in milliseconds. */
  static long loadIntervalMs(NodeState state) {
    int shards = Math.max(1, state.agreed().ledger().engines().size());
    return (long)
        Math.ceil(1_000.0 * shards / state.configuration().limits().weightLoadsPerSecond());
  }

  /** Returns the part of the limit that the shard of an engine uses, together with others. */
  static int groupOf(NodeState state, BackendId engine) {
    return Shards.of(engine) % groups(state);
  }

  /**
   * Returns how many loads the weight store has room for in the part of an engine. The limit is
   * usually below the number of shards, so several shards share one part; in the log the earlier
   * intent comes first. A load that has taken longer than an order may take no longer counts, or an
   * engine that died while loading would block its part.
   *
   * @param offset offset of the intent of the load, or {@link Long#MAX_VALUE} before there is one
   */
  static int availableLoads(NodeState state, BackendId engine, long offset) {
    int group = groupOf(state, engine);
    int available = part(state.configuration().limits().weightLoadsAtOnce(), groups(state), group);
    for (BackendId other : state.agreed().ledger().intents().values()) {
      boolean counted = groupOf(state, other) == group && isLoading(state, other, offset);
      available -= counted ? 1 : 0;
    }
    return available;
  }

  private static int groups(NodeState state) {
    return Math.min(state.configuration().limits().weightLoadsAtOnce(), Shards.COUNT);
  }

  private static boolean isLoading(NodeState state, BackendId engine, long offset) {
    long intendedMs = OrderSteps.orderExpiryMs(state, engine) - OrderSteps.maxOrderTransitMs(state);
    return state.nowMs() - intendedMs < OrderSteps.ANSWER_TIMEOUT_MS
        && state
            .agreed()
            .ledger()
            .account(engine)
            .pending()
            .filter(Intent::load)
            .filter(intent -> intent.offset() < offset)
            .isPresent();
  }
}
