package org.limpetdoor.core;

import java.util.Comparator;

/**
 * A time at which something is due.
 *
 * @param dueMs when, in monotonic milliseconds
 * @param kind what is due
 * @param key what it is about, for example a request identifier
 */
public record Timer(long dueMs, TimerKind kind, String key) implements Comparable<Timer> {
  private static final Comparator<Timer> ORDER =
      Comparator.comparingLong(Timer::dueMs).thenComparing(Timer::kind).thenComparing(Timer::key);

  @Override
  public int compareTo(Timer other) {
    return ORDER.compare(this, other);
  }
}
