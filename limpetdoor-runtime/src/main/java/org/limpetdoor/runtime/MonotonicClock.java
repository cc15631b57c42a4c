package org.limpetdoor.runtime;

import java.util.concurrent.TimeUnit;

/** A clock that never goes back and counts milliseconds from an arbitrary origin. */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the current time in monotonic milliseconds. */
  long nowMs();

  /** Returns a clock that reads 0 at the time of this call. */
  static MonotonicClock startingNow() {
    long startNs = System.nanoTime();
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
  }
}
