package org.limpetdoor.core.request;

/**
 * Trend of the age of a customer's oldest waiting request over successive checks.
 *
 * @param lastAgeMs age at the last check, in milliseconds
 * @param consecutiveRises number of consecutive checks at which the age had risen
 * @param mutedUntilMs time before which no further alarm is raised, in monotonic milliseconds
 */
record QueueTrend(long lastAgeMs, int consecutiveRises, long mutedUntilMs) {
  static final QueueTrend NONE = new QueueTrend(0, 0, 0);

  /**
   * Three checks distinguish a growing queue from a burst, and still raise the alarm within 3 s.
   */
  private static final int ALARM_CONSECUTIVE_RISES = 3;

  /**
   * Minimum time between alarms of one customer, so that a lasting condition does not flood the
   * log.
   */
  private static final long MIN_ALARM_INTERVAL_MS = 10_000;

  QueueTrend withAge(long ageMs) {
    return new QueueTrend(ageMs, ageMs > lastAgeMs ? consecutiveRises + 1 : 0, mutedUntilMs);
  }

  QueueTrend withAlarmAt(long nowMs) {
    return new QueueTrend(lastAgeMs, 0, nowMs + MIN_ALARM_INTERVAL_MS);
  }

  boolean isRising() {
    return consecutiveRises >= ALARM_CONSECUTIVE_RISES;
  }

  boolean isMuted(long nowMs) {
    return nowMs < mutedUntilMs;
  }
}
