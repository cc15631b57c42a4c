package org.limpetdoor.runtime;

import java.util.function.LongSupplier;

/**
 * Detects that the process was suspended for a time that the monotonic clock does not count, from
 * the time of day. A step of the time of day looks the same, so a finding is only a suspicion.
 * Confined to one thread.
 */
public final class SuspensionDetector {
  /** Smaller differences come from the adjustment of the time of day. */
  private static final long MIN_LOST_MS = 300;

  private final LongSupplier timeOfDayMs;
  private long lastDifferenceMs;

  /**
   * Creates a detector.
   *
   * @param timeOfDayMs source of the time of day, in Unix milliseconds
   * @param nowMs current time, in monotonic milliseconds
   */
  public SuspensionDetector(LongSupplier timeOfDayMs, long nowMs) {
    this.timeOfDayMs = timeOfDayMs;
    this.lastDifferenceMs = timeOfDayMs.getAsLong() - nowMs;
  }

  /**
   * Returns the time that the monotonic clock may lack since the last call, in milliseconds, or 0.
   *
   * @param nowMs current time, in monotonic milliseconds
   */
  public long lostMs(long nowMs) {
    long differenceMs = timeOfDayMs.getAsLong() - nowMs;
    long lostMs = differenceMs - lastDifferenceMs;
    lastDifferenceMs = differenceMs;
    return lostMs >= MIN_LOST_MS ? lostMs : 0;
  }
}
