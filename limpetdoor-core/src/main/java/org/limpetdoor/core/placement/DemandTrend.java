package org.limpetdoor.core.placement;

/**
 * Trend of the demand for a model, sampled at a fixed interval.
 *
 * @param current last sample, in engine slots
 * @param previous sample before the last one
 * @param peak highest sample, decaying over time
 */
public record DemandTrend(int current, int previous, double peak) {
  /** Trend of a model without demand. */
  static final DemandTrend NONE = new DemandTrend(0, 0, 0);

  /** Interval between samples, in milliseconds. */
  static final long SAMPLE_INTERVAL_MS = 2_000;

  /** Halves the peak in 60 s, so that a replica is kept during the pauses of a bursty model. */
  private static final double PEAK_DECAY = Math.pow(0.5, SAMPLE_INTERVAL_MS / 60_000.0);

  /** Number of samples by which growth is projected ahead, because a load takes about 10 s. */
  private static final int PROJECTED_SAMPLES = 5;

  /**
   * Upper bound of projected to current demand, so that a single step in demand is not extrapolated
   * as steady growth.
   */
  private static final int MAX_GROWTH_FACTOR = 2;

  DemandTrend withSample(int slots) {
    double decayed = peak * PEAK_DECAY;
    return new DemandTrend(slots, current, Math.max(slots, decayed < 0.5 ? 0 : decayed));
  }

  /** Returns the demand expected at the end of a load that starts now, in engine slots. */
  int projected() {
    long extrapolated = current + (long) PROJECTED_SAMPLES * Math.max(0, current - previous);
    return (int) Math.min(extrapolated, (long) MAX_GROWTH_FACTOR * current);
  }
}
