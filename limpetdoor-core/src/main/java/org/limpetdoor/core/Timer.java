package org.limpetdoor.core;

import java.util.Comparator;

/**
 * A pending timer.
 *
 * @param dueMs time at which the timer fires, in monotonic milliseconds
 * @param kind kind, which determines the handler
 * @param key subject of the timer, for example a request identifier
 */
public record Timer(long dueMs, TimerKind kind, String key) implements Comparable<Timer> {
  private static final Comparator<Timer> ORDER =
      Comparator.comparingLong(Timer::dueMs).thenComparing(Timer::kind).thenComparing(Timer::key);

  @Override
  public int compareTo(Timer other) {
    return ORDER.compare(this, other);
  }
}
