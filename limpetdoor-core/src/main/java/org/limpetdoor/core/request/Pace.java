package org.limpetdoor.core.request;

/**
 * Moving averages of the response times of one engine for one model.
 *
 * @param firstToken time to first token, for each token of the prompt and of the fixed cost
 * @param tokenInterval time between tokens
 */
record Pace(Average firstToken, Average tokenInterval) {
  static final Pace UNMEASURED = new Pace(Average.NONE, Average.NONE);

  /** Smaller ratios are treated as noise. */
  private static final double MIN_SLOW_RATIO = 1.5;

  /** Bounds the effect of one extreme sample, so that an engine is never excluded completely. */
  private static final double MAX_SLOW_RATIO = 10;

  /**
   * A moving average with the time of its last sample.
   *
   * @param valueMs the average, in milliseconds
   * @param lastSampleAtMs time of the last sample, in monotonic milliseconds, or -1 without a
   *     sample
   */
  record Average(double valueMs, long lastSampleAtMs) {
    static final Average NONE = new Average(0, -1);

    /**
     * Weight of a new sample. Other load on a shared host slows an engine for a few seconds only,
     * so few samples must suffice.
     */
    private static final double SAMPLE_WEIGHT = 0.5;

    /**
     * Half-life of the excess over the median. An engine that is avoided yields no new samples, so
     * the penalty decays until the engine is tried again.
     */
    private static final double HALF_LIFE_MS = 3_000;

    boolean isMeasured() {
      return lastSampleAtMs >= 0;
    }

    Average withSample(double sampleMs, long nowMs) {
      double next = isMeasured() ? valueMs + SAMPLE_WEIGHT * (sampleMs - valueMs) : sampleMs;
      return new Average(next, nowMs);
    }

    double ratioToMedian(double medianMs, long nowMs) {
      if (!isMeasured() || medianMs <= 0) {
        return 1;
      }
      double excess = Math.min(MAX_SLOW_RATIO, valueMs / medianMs) - 1;
      return 1 + excess * Math.pow(0.5, (nowMs - lastSampleAtMs) / HALF_LIFE_MS);
    }
  }

  long lastSampleAtMs() {
    return Math.max(firstToken.lastSampleAtMs(), tokenInterval.lastSampleAtMs());
  }

  Pace withFirstToken(double sampleMs, long nowMs) {
    return new Pace(firstToken.withSample(sampleMs, nowMs), tokenInterval);
  }

  Pace withTokenInterval(double sampleMs, long nowMs) {
    return new Pace(firstToken, tokenInterval.withSample(sampleMs, nowMs));
  }

  /** Returns how many times slower the engine is than the medians, at least 1. */
  double slowRatio(double medianFirstTokenMs, double medianTokenIntervalMs, long nowMs) {
    double ratio =
        Math.max(
            firstToken.ratioToMedian(medianFirstTokenMs, nowMs),
            tokenInterval.ratioToMedian(medianTokenIntervalMs, nowMs));
    return ratio < MIN_SLOW_RATIO ? 1 : ratio;
  }
}
