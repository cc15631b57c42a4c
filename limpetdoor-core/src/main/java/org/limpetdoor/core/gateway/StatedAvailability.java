package org.limpetdoor.core.gateway;

/**
 * What one start of an engine has stated about its availability to this instance. Entries of the
 * list of engines do not change it: the list may be older than the statement, and it may name the
 * engine again after its entry has lapsed.
 *
 * @param startedAtMs start of the engine that the statements are from, in Unix milliseconds
 * @param statedAtMs time of the last statement, in monotonic milliseconds
 * @param leaving whether the engine is shutting down
 * @param closedUntilMs time until which the engine accepts no requests of this instance, in
 *     monotonic milliseconds; 0 if it has not stated any
 */
record StatedAvailability(long startedAtMs, long statedAtMs, boolean leaving, long closedUntilMs) {
  static StatedAvailability unknown(long startedAtMs) {
    return new StatedAvailability(startedAtMs, 0, false, 0);
  }

  /** Applies a notice. A time that was stated before and ends later still holds. */
  StatedAvailability with(EngineNotice notice, long nowMs) {
    long closedMs = notice.retryAfterMs();
    long untilMs = closedMs == 0 ? closedUntilMs : Math.max(closedUntilMs, nowMs + closedMs);
    return new StatedAvailability(startedAtMs, nowMs, leaving || notice.leaving(), untilMs);
  }
}
