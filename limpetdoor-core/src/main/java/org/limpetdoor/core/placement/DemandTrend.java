package org.limpetdoor.core.placement;

/**
 * Course of the demand for a model, sampled in a fixed interval.
 *
 * @param current last sample, in engine slots
 * @param previous sample before it
 * @param peak highest sample, decaying over time
 */
public record DemandTrend(int current, int previous, double peak) {
  /** Course of a model without demand. */
  static final DemandTrend NONE = new DemandTrend(0, 0, 0);

  /** Interval of samples, in milliseconds. */
  static final long SAMPLE_INTERVAL_MS = 2_000;

  /** Halves the peak in 60 s, so that a replica outlives the pauses of a bursty model. */
  private static final double PEAK_DECAY = Math.pow(0.5, SAMPLE_INTERVAL_MS / 60_000.0);

  /** Samples that growth is projected ahead: a load takes about 10 s. */
  private static final int PROJECTED_SAMPLES = 5;

  /** Bound of the projection, because a step is not a slope. */
  private static final int MAX_GROWTH_FACTOR = 2;

  DemandTrend withSample(int slots) {
    double decayed = peak * PEAK_DECAY;
    return new DemandTrend(slots, current, Math.max(slots, decayed < 0.5 ? 0 : decayed));
  }

  /** Returns the demand to expect when a load that starts now is done, in engine slots. */
  int projected() {
    long extrapolated = current + (long) PROJECTED_SAMPLES * Math.max(0, current - previous);
    return (int) Math.min(extrapolated, (long) MAX_GROWTH_FACTOR * current);
  }
}
