package org.limpetdoor.runtime;

import java.util.concurrent.TimeUnit;

/** Time that never goes back, in milliseconds since an arbitrary start. */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the time in milliseconds. */
  long nowMs();

  /** Returns a clock that starts at 0 now. */
  static MonotonicClock startingNow() {
    long startNs = System.nanoTime();
    return () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs);
  }
}
