package org.limpetdoor.core;

/** State that asks to be told when a certain time has come. */
public interface Timed {
  /** Value of {@link #nextDeadlineMs()} when nothing is due. */
  long NEVER_MS = Long.MAX_VALUE;

  /**
   * Returns the time at which the reducer wants its next timer event, in monotonic milliseconds, or
   * {@link #NEVER_MS}.
   */
  long nextDeadlineMs();
}
