package org.limpetdoor.gateway;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import org.limpetdoor.runtime.MonotonicClock;

/**
 * Bounds the time for which a request has waited in its socket before a busy process read it. A
 * traffic thread that polls without blocking was busy since the poll before, and what it reads now
 * may have arrived right after that one. Used as the select strategy of the traffic thread and
 * confined to it.
 */
final class ReadTimes implements SelectStrategyFactory {
  private static final long UNKNOWN_MS = -1;

  private final MonotonicClock clock;
  private long lastPollMs;
  private long earliestArrivalMs = UNKNOWN_MS;

  ReadTimes(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Returns the earliest time at which bytes that are read now may have arrived, in monotonic
   * milliseconds.
   */
  long earliestArrivalMs() {
    if (earliestArrivalMs == UNKNOWN_MS) {
      earliestArrivalMs = clock.nowMs();
    }
    return earliestArrivalMs;
  }

  @Override
  public SelectStrategy newSelectStrategy() {
    SelectStrategy delegate = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    return (supplier, hasTasks) -> poll(delegate, supplier, hasTasks);
  }

  private int poll(SelectStrategy delegate, IntSupplier supplier, boolean hasTasks)
      throws Exception {
    int strategy = delegate.calculateStrategy(supplier, hasTasks);
    earliestArrivalMs = strategy == SelectStrategy.SELECT ? UNKNOWN_MS : lastPollMs;
    lastPollMs = clock.nowMs();
    return strategy;
  }
}
