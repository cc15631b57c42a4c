package org.limpetdoor.core.gateway;

/**
 * Health of an engine as observed through the calls of this instance.
 *
 * @param avoidUntilMs time until which the engine receives calls only if there is no alternative,
 *     in monotonic milliseconds
 * @param consecutiveFailures number of consecutive calls for which the engine was unreachable
 * @param failureShare smoothed share of failed calls, from 0 to 1
 * @param latencyMs smoothed time to the response or its first event, in milliseconds; 0 if unknown
 */
record EngineHealth(
    long avoidUntilMs, int consecutiveFailures, double failureShare, double latencyMs) {
  static final EngineHealth UNKNOWN = new EngineHealth(0, 0, 0, 0);

  /** Weight of the newest observation in the exponential moving averages. */
  private static final double SMOOTHING = 0.1;

  /**
   * Time for which an engine is avoided after it was unreachable once, in milliseconds. It doubles
   * with each consecutive failure.
   */
  private static final long INITIAL_AVOID_MS = 500;

  private static final int MAX_DOUBLINGS = 3;

  /** Time for which an engine that reported that it is full is avoided, in milliseconds. */
  private static final long FULL_AVOID_MS = 100;

  /** Records a response, or its first event, that arrived after the given time. */
  EngineHealth withResponse(long tookMs) {
    double latency = latencyMs == 0 ? tookMs : latencyMs + SMOOTHING * (tookMs - latencyMs);
    return new EngineHealth(0, 0, failureShare * (1 - SMOOTHING), latency);
  }

  /** Records a failed attempt. */
  EngineHealth withFailure(ForwardResult.EngineFailure failure, long nowMs) {
    return switch (failure) {
      case NONE, MISSING -> this;
      case FULL ->
          new EngineHealth(
              Math.max(avoidUntilMs, nowMs + FULL_AVOID_MS),
              consecutiveFailures,
              failureShare,
              latencyMs);
      case ERROR, BROKEN ->
          new EngineHealth(avoidUntilMs, consecutiveFailures, increasedFailureShare(), latencyMs);
      case UNREACHABLE -> {
        long avoidMs = INITIAL_AVOID_MS << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        yield new EngineHealth(
            nowMs + avoidMs, consecutiveFailures + 1, increasedFailureShare(), latencyMs);
      }
    };
  }

  private double increasedFailureShare() {
    return failureShare + SMOOTHING * (1 - failureShare);
  }
}
