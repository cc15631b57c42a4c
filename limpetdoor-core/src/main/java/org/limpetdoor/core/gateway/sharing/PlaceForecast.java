package org.limpetdoor.core.gateway.sharing;

/**
 * Forecasts when places come free for the waiting calls of this instance.
 *
 * @param placesPerS rate at which places come free, per second; 0 if unknown
 */
public record PlaceForecast(double placesPerS) {
  private static final double MS_PER_S = 1_000;

  /**
   * Returns the forecast for some engines. The completions of this instance at them are few, since
   * it has less than one call at most engines of a large fleet. So the rate isn't taken to be below
   * an equal part of what the calls of all instances there yield.
   *
   * @param completionsPerS observed completions of this instance's calls at the engines, per second
   * @param inFlight calls of all instances in flight at the engines
   * @param meanRunMs mean run time of calls, in milliseconds; 0 if unknown
   * @param instances number of instances
   */
  public static PlaceForecast of(
      double completionsPerS, int inFlight, double meanRunMs, int instances) {
    double equalPart = meanRunMs > 0 ? inFlight * MS_PER_S / meanRunMs / instances : 0;
    return new PlaceForecast(meanRunMs > 0 ? Math.max(completionsPerS, equalPart) : 0);
  }

  /** Returns whether places are known to come free. */
  boolean known() {
    return placesPerS > 0;
  }

  /**
   * Returns the time until a call is started, in milliseconds.
   *
   * @param ahead number of calls that are served before it
   */
  public double startsInMs(double ahead) {
    return (ahead + 1) * MS_PER_S / placesPerS;
  }
}
