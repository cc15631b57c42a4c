package org.limpetdoor.gateway;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import org.limpetdoor.runtime.MonotonicClock;

/**
 * Bounds the time for which a request has waited in its socket before a busy process read it. What
 * a poll that does not block finds may have arrived right after the traffic thread began the work
 * that preceded the poll. Used as the select strategy of the traffic thread and confined to it.
 */
final class ReadTimes implements SelectStrategyFactory {
  private static final long NO_WORK_MS = -1;

  private final MonotonicClock clock;

  /** Time of the first work since the last poll. */
  private long workBeganMs = NO_WORK_MS;

  /** Time of the first work between the last two polls, if the last one did not block. */
  private long previousWorkBeganMs = NO_WORK_MS;

  ReadTimes(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Called when the traffic thread handles a message or executes an effect. */
  void recordWork() {
    if (workBeganMs == NO_WORK_MS) {
      workBeganMs = clock.nowMs();
    }
  }

  /** Returns the time since the work began that preceded this call and follows the last poll. */
  long workingForMs() {
    recordWork();
    return clock.nowMs() - workBeganMs;
  }

  /**
   * Returns the earliest time at which bytes that are read now may have arrived, in monotonic
   * milliseconds.
   */
  long earliestArrivalMs() {
    recordWork();
    return previousWorkBeganMs == NO_WORK_MS ? workBeganMs : previousWorkBeganMs;
  }

  @Override
  public SelectStrategy newSelectStrategy() {
    SelectStrategy delegate = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    return (supplier, hasTasks) -> poll(delegate, supplier, hasTasks);
  }

  private int poll(SelectStrategy delegate, IntSupplier supplier, boolean hasTasks)
      throws Exception {
    int strategy = delegate.calculateStrategy(supplier, hasTasks);
    previousWorkBeganMs = strategy == SelectStrategy.SELECT ? NO_WORK_MS : workBeganMs;
    workBeganMs = NO_WORK_MS;
    return strategy;
  }
}
