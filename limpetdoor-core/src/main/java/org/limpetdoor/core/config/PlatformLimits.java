package org.limpetdoor.core.config;

/**
 * Limits of the platform that apply to all instances together.
 *
 * @param weightLoadsPerSecond loads that the weight store starts each second, above 0
 * @param weightLoadsAtOnce concurrent loads that the weight store serves at full speed, at least 1
 * @param adapterLoadsAtOnce largest number of adapter loads in flight over all engines, at least 1
 * @param maxOrderDelayMs longest delay after which an order to an engine can still arrive, in
 *     milliseconds, at least 1
 */
public record PlatformLimits(
    double weightLoadsPerSecond,
    int weightLoadsAtOnce,
    int adapterLoadsAtOnce,
    long maxOrderDelayMs) {
  /**
   * Defaults for a small fleet: two loads per second, three concurrent loads, 25 concurrent adapter
   * loads, order delays of up to 30 seconds.
   */
  public static final PlatformLimits DEFAULT = new PlatformLimits(2, 3, 25, 30_000);

  /** Checks ranges. */
  public PlatformLimits {
    Ranges.above("weightLoadsPerSecond", weightLoadsPerSecond, 0);
    Ranges.atLeast("weightLoadsAtOnce", weightLoadsAtOnce, 1);
    Ranges.atLeast("adapterLoadsAtOnce", adapterLoadsAtOnce, 1);
    Ranges.atLeast("maxOrderDelayMs", maxOrderDelayMs, 1);
  }
}
