package org.limpetdoor.core.gateway;

/**
 * What one start of an engine has stated about its availability to this instance. Entries of the
 * list of engines do not change it: the list may be older than the statement, and it may name the
 * engine again after its entry has lapsed.
 *
 * @param startedAtMs start of the engine that the statements are from, in Unix milliseconds
 * @param statedAtMs time of the last statement, in monotonic milliseconds
 * @param leaving whether the engine is shutting down
 */
record StatedAvailability(long startedAtMs, long statedAtMs, boolean leaving) {
  static StatedAvailability unknown(long startedAtMs) {
    return new StatedAvailability(startedAtMs, 0, false);
  }

  StatedAvailability with(EngineNotice notice, long nowMs) {
    return new StatedAvailability(startedAtMs, nowMs, leaving || notice.leaving());
  }
}
