package org.limpetdoor.core.gateway;

/**
 * How an engine has served the calls of this instance.
 *
 * @param avoidUntilMs time until which it gets calls only if there is no other engine
 * @param failures failures in a row that speak against it
 * @param failureShare share of recent calls that it failed, from 0 to 1
 * @param latencyMs smoothed time to the answer, in milliseconds; 0 if unknown
 */
record EngineHealth(long avoidUntilMs, int failures, double failureShare, double latencyMs) {
  static final EngineHealth UNKNOWN = new EngineHealth(0, 0, 0, 0);

  /** Weight of the newest observation in the smoothed figures. */
  private static final double SMOOTHING = 0.1;

  /** First time for which an engine that cannot be reached is avoided; doubled for each more. */
  private static final long FIRST_AVOID_MS = 500;

  private static final int MAX_DOUBLINGS = 3;

  /** Time for which an engine that said that it is full is avoided, in milliseconds. */
  private static final long FULL_AVOID_MS = 100;

  /** Notes an answer after the given time. */
  EngineHealth answered(long tookMs) {
    double latency = latencyMs == 0 ? tookMs : latencyMs + SMOOTHING * (tookMs - latencyMs);
    return new EngineHealth(0, 0, failureShare * (1 - SMOOTHING), latency);
  }

  /** Notes a failure. */
  EngineHealth failed(ForwardResult.Blame blame, long nowMs) {
    return switch (blame) {
      case NONE, MISSING -> this;
      case FULL ->
          new EngineHealth(
              Math.max(avoidUntilMs, nowMs + FULL_AVOID_MS), failures, failureShare, latencyMs);
      case ERROR, BROKEN -> new EngineHealth(avoidUntilMs, failures, failing(), latencyMs);
      case UNREACHABLE -> {
        long avoidMs = FIRST_AVOID_MS << Math.min(failures, MAX_DOUBLINGS);
        yield new EngineHealth(nowMs + avoidMs, failures + 1, failing(), latencyMs);
      }
    };
  }

  private double failing() {
    return failureShare + SMOOTHING * (1 - failureShare);
  }
}
