package org.limpetdoor.core;

/**
 * Decides how long the next read of a log waits for a record, and when it is sent.
 *
 * <p>A log that becomes silent answers no read that was sent before or meanwhile, also not after
 * its return; such a read ends with its timeout. Reads after a failed one therefore do not wait for
 * records, so that they time out soon, and the delay before them counts from the start of the
 * failed read, so that no delay is added to a timeout.
 *
 * @param waitMs time for which the log holds a read until there is a record, in milliseconds
 * @param pauseMs pause after a read that succeeded, in milliseconds
 * @param failures number of consecutive reads that have failed
 */
public record PollSchedule(long waitMs, long pauseMs, int failures) {
  /** Delay between the starts of the first failed read and the next one, in milliseconds. */
  private static final long MIN_RETRY_MS = 250;

  /**
   * Number of times that the delay doubles. A log that has returned must be read within a second.
   */
  private static final int MAX_DOUBLINGS = 2;

  /** Checks the times. */
  public PollSchedule {
    if (waitMs < 0 || pauseMs < 0 || failures < 0) {
      throw new IllegalArgumentException("negative: " + waitMs + ", " + pauseMs + ", " + failures);
    }
  }

  /** Creates the schedule of a log that has not been read yet. */
  public static PollSchedule of(long waitMs, long pauseMs) {
    return new PollSchedule(waitMs, pauseMs, 0);
  }

  /** Returns a copy with other times for reads that succeed. */
  public PollSchedule withTimes(long newWaitMs, long newPauseMs) {
    return new PollSchedule(newWaitMs, newPauseMs, failures);
  }

  /** Returns the schedule after a read that succeeded. */
  public PollSchedule afterSuccess() {
    return failures == 0 ? this : new PollSchedule(waitMs, pauseMs, 0);
  }

  /** Returns the schedule after a read that failed. */
  public PollSchedule afterFailure() {
    return new PollSchedule(waitMs, pauseMs, failures + 1);
  }

  /** Returns how long the next read waits for a record, in milliseconds. */
  public long nextWaitMs() {
    return failures == 0 ? waitMs : 0;
  }

  /**
   * Returns the delay before the next read, in milliseconds.
   *
   * @param elapsedMs time since the last read was sent, in milliseconds
   */
  public long nextDelayMs(long elapsedMs) {
    if (failures == 0) {
      return pauseMs;
    }
    long retryMs = MIN_RETRY_MS << Math.min(MAX_DOUBLINGS, failures - 1);
    return Math.max(0, retryMs - elapsedMs);
  }
}
