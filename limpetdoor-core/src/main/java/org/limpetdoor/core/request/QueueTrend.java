package org.limpetdoor.core.request;

/**
 * How the age of a customer's oldest waiting request develops from check to check.
 *
 * @param lastAgeMs age at the last check, in milliseconds
 * @param consecutiveRises number of checks in a row at which the age had risen
 * @param mutedUntilMs time until which no further alarm is raised, in monotonic milliseconds
 */
record QueueTrend(long lastAgeMs, int consecutiveRises, long mutedUntilMs) {
  static final QueueTrend NONE = new QueueTrend(0, 0, 0);

  /** Three checks tell a growing queue from a burst, and still raise the alarm within 3 s. */
  private static final int ALARM_CONSECUTIVE_RISES = 3;

  /** Pause between alarms of one customer, so that an alarm that lasts does not flood the log. */
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
