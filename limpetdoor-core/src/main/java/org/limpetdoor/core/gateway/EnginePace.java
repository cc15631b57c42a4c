package org.limpetdoor.core.gateway;

/**
 * Pace of an engine, observed through the streams of this instance. Only the latest observation is
 * kept, without smoothing, because an engine slows down only briefly, while a neighbouring workload
 * is busy or while it processes a long prompt.
 *
 * @param gapMs time between the last two events of a stream, in milliseconds
 * @param observedAtMs time of the observation, in monotonic milliseconds
 */
record EnginePace(long gapMs, long observedAtMs) {
  static final EnginePace UNKNOWN = new EnginePace(0, 0);

  /**
   * Age from which an observation is ignored, in milliseconds. Neighbouring workloads slow an
   * engine down for about 600 ms, and a new observation is reported only when the pace changes.
   */
  private static final long VALID_MS = 1_200;

  /** Returns the time between events in milliseconds, or 0 without a recent observation. */
  long gapMs(long nowMs) {
    return nowMs - observedAtMs < VALID_MS ? gapMs : 0;
  }
}
