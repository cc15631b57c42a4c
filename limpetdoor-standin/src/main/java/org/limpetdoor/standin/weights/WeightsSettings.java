package org.limpetdoor.standin.weights;

import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of the weight store.
 *
 * @param address listen address
 * @param loadsPerSecond number of loads per second when {@code fullSpeedLoads} run at the same
 *     time, above 0
 * @param fullSpeedLoads number of loads that can run at full speed at the same time, at least 1;
 *     more loads share that throughput
 */
public record WeightsSettings(ListenAddress address, double loadsPerSecond, int fullSpeedLoads)
    implements StandinSettings {
  /** Checks the ranges. */
  public WeightsSettings {
    if (address == null || !(loadsPerSecond > 0) || fullSpeedLoads < 1) {
      throw new IllegalArgumentException(
          "address is required; loadsPerSecond must be above 0 and fullSpeedLoads at least 1");
    }
  }

  @Override
  public StandinRole role() {
    return StandinRole.WEIGHTS;
  }

  /** Returns the duration of a load at full speed in milliseconds. */
  double loadMs() {
    return 1_000 * fullSpeedLoads / loadsPerSecond;
  }
}
