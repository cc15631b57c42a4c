package org.limpetdoor.core.gateway;

/**
 * How fast an engine passes the events of its streams on, as streams of this instance show. An
 * engine that is slowed by a neighbour, or that reads a long prompt, is slow for moments only, so
 * the last observation counts.
 *
 * @param gapMs time between the last two events of a stream, in milliseconds
 * @param seenAtMs when they were seen, in monotonic milliseconds
 */
record EnginePace(long gapMs, long seenAtMs) {
  static final EnginePace UNKNOWN = new EnginePace(0, 0);

  /**
   * Age after which an observation says nothing about the present. Neighbours slow an engine for
   * about 600 ms, and a new observation comes only when the pace changes.
   */
  private static final long VALID_MS = 1_200;

  /** Returns the gap, or 0 if nothing was observed lately. */
  long gapMs(long nowMs) {
    return nowMs - seenAtMs < VALID_MS ? gapMs : 0;
  }
}
