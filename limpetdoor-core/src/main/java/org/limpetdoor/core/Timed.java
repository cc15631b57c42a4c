package org.limpetdoor.core;

/** State that requires a timer event at a certain time. */
public interface Timed {
  /** Value of {@link #nextDeadlineMs()} when no timer is pending. */
  long NEVER_MS = Long.MAX_VALUE;

  /**
   * Returns the time at which the reducer needs its next timer event, in monotonic milliseconds, or
   * {@link #NEVER_MS}.
   */
  long nextDeadlineMs();
}
