package org.limpetdoor.gateway;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.runtime.MonotonicClock;

/**
 * Bounds the time for which a request has waited in its socket before a busy process read it. What
 * a poll that does not block finds may have arrived right after the traffic thread began the work
 * that preceded the poll. Used as the select strategy of the traffic thread and confined to it.
 */
final class ReadTimes implements SelectStrategyFactory {
  private static final long NO_WORK_MS = -1;

  /**
   * Longest time for which input may be unread when a request is written to an engine, in
   * milliseconds. Requests must not reach engines half a second after their callers have left.
   */
  private static final long MAX_UNREAD_MS = 100;

  private final MonotonicClock clock;

  /** Time of the last poll if it did not block, otherwise of the first work since it. */
  private long workBeganMs = NO_WORK_MS;

  /** Value of {@code workBeganMs} before the last poll, if that poll did not block. */
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

  /**
   * Runs a task at once, or after the next poll if the ends of connections may have been unread for
   * too long.
   */
  void runWithRecentInput(EventLoop loop, Runnable task) {
    if (clock.nowMs() - earliestArrivalMs() <= MAX_UNREAD_MS) {
      task.run();
      return;
    }
    // Unlike a task that is only executed, a scheduled one runs after the next poll.
    loop.schedule(task, 0, TimeUnit.MILLISECONDS);
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
    boolean blocks = strategy == SelectStrategy.SELECT;
    previousWorkBeganMs = blocks ? NO_WORK_MS : workBeganMs;
    // Messages of peers, engines and the store are work too, but not recorded one by one.
    workBeganMs = blocks ? NO_WORK_MS : clock.nowMs();
    return strategy;
  }
}
