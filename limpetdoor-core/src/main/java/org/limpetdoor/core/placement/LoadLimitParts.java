package org.limpetdoor.core.placement;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.EngineAccount.Intent;
import org.limpetdoor.core.agreed.Shards;
import org.limpetdoor.core.config.PlatformLimits;
import org.limpetdoor.core.id.BackendId;

/**
 * Division of the platform's load limits over the shards. The parts add up to the limit, so lease
 * holders keep it without communicating.
 */
public final class LoadLimitParts {
  private LoadLimitParts() {}

  /** Returns one of several parts of a total; the parts differ by at most 1 and add up to it. */
  public static int part(int total, int parts, int index) {
    return total / parts + (index < total % parts ? 1 : 0);
  }

  /** Returns the maximum number of adapter loads that the holder of a shard may have in flight. */
  public static int adapterLoadsAtOnce(PlatformLimits limits, int shard) {
    return part(limits.adapterLoadsAtOnce(), Shards.COUNT, shard);
  }

  /** Returns the minimum time between two loads of a shard, in milliseconds. */
  static long loadIntervalMs(NodeState state) {
    int shards = Math.max(1, state.agreed().ledger().engines().size());
    return (long)
        Math.ceil(1_000.0 * shards / state.configuration().limits().weightLoadsPerSecond());
  }

  /**
   * Returns the index of the part of the limit that the shard of an engine shares with other
   * shards.
   */
  static int partIndexOf(NodeState state, BackendId engine) {
    return Shards.of(engine) % partCount(state);
  }

  /**
   * Returns the number of further loads that the part of an engine allows. The limit is usually
   * below the number of shards, so several shards share one part, and earlier intents in the log
   * take precedence. A load without an answer for {@link OrderSteps#ANSWER_TIMEOUT_MS} is not
   * counted, because an engine that died while loading would block its part.
   *
   * @param offset offset of the intent of the load, or {@link Long#MAX_VALUE} before there is one
   */
  static int availableLoads(NodeState state, BackendId engine, long offset) {
    int partIndex = partIndexOf(state, engine);
    int available =
        part(state.configuration().limits().weightLoadsAtOnce(), partCount(state), partIndex);
    for (BackendId other : state.agreed().ledger().intents().values()) {
      boolean counted = partIndexOf(state, other) == partIndex && isLoading(state, other, offset);
      available -= counted ? 1 : 0;
    }
    return available;
  }

  private static int partCount(NodeState state) {
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
