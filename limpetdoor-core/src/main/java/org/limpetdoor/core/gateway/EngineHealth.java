package org.limpetdoor.core.gateway;

import java.util.List;

/**
 * Health of an engine as observed through the calls of this instance.
 *
 * @param avoidUntilMs time until which the engine receives calls only if there is no alternative,
 *     in monotonic milliseconds
 * @param consecutiveFailures number of consecutive calls for which the engine was unreachable
 * @param fullUntilMs time until which the engine is taken to be full, in monotonic milliseconds
 * @param consecutiveRejections number of consecutive calls that the engine rejected as full
 * @param failureShare smoothed share of failed calls, from 0 to 1
 * @param latencyMs smoothed time to the response or its first event, in milliseconds; 0 if unknown
 */
record EngineHealth(
    long avoidUntilMs,
    int consecutiveFailures,
    long fullUntilMs,
    int consecutiveRejections,
    double failureShare,
    double latencyMs) {
  static final EngineHealth UNKNOWN = new EngineHealth(0, 0, 0, 0, 0, 0);

  /** Weight of the newest observation in the exponential moving averages. */
  private static final double SMOOTHING = 0.1;

  /**
   * Time for which an engine is avoided after it was unreachable once, in milliseconds. It doubles
   * with each consecutive failure.
   */
  private static final long INITIAL_AVOID_MS = 500;

  /**
   * Time for which an engine that rejected a call is taken to be full, in milliseconds. It doubles
   * with each consecutive rejection, each of which uses up a retry of the deployment.
   */
  private static final long INITIAL_FULL_MS = 100;

  private static final int MAX_DOUBLINGS = 3;

  /** Records a response, or its first event, that arrived after the given time. */
  EngineHealth withResponse(long tookMs) {
    double latency = latencyMs == 0 ? tookMs : latencyMs + SMOOTHING * (tookMs - latencyMs);
    return new EngineHealth(0, 0, 0, 0, failureShare * (1 - SMOOTHING), latency);
  }

  /** Records a failed attempt. */
  EngineHealth withFailure(ForwardResult.EngineFailure failure, long nowMs) {
    return switch (failure) {
      case NONE, MISSING -> this;
      case FULL ->
          new EngineHealth(
              avoidUntilMs,
              consecutiveFailures,
              Math.max(fullUntilMs, nowMs + doubled(INITIAL_FULL_MS, consecutiveRejections)),
              consecutiveRejections + 1,
              failureShare,
              latencyMs);
      case ERROR, BROKEN ->
          new EngineHealth(
              avoidUntilMs,
              consecutiveFailures,
              fullUntilMs,
              consecutiveRejections,
              increasedFailureShare(),
              latencyMs);
      case UNREACHABLE ->
          new EngineHealth(
              Math.max(avoidUntilMs, nowMs + doubled(INITIAL_AVOID_MS, consecutiveFailures)),
              consecutiveFailures + 1,
              fullUntilMs,
              consecutiveRejections,
              increasedFailureShare(),
              latencyMs);
    };
  }

  /** Returns a copy of an engine that has room again, although it has rejected calls before. */
  EngineHealth withRoom() {
    return new EngineHealth(
        avoidUntilMs, consecutiveFailures, 0, consecutiveRejections, failureShare, latencyMs);
  }

  /** Returns the times from which the engine is not taken to be full, or not avoided. */
  List<Long> retryTimesMs() {
    return List.of(fullUntilMs, avoidUntilMs);
  }

  private static long doubled(long initialMs, int repetitions) {
    return initialMs << Math.min(repetitions, MAX_DOUBLINGS);
  }

  private double increasedFailureShare() {
    return failureShare + SMOOTHING * (1 - failureShare);
  }
}
