package org.limpetdoor.standin.weights;

import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of the weight store.
 *
 * @param address where it listens
 * @param loadsPerSecond loads finished in a second at full speed, above 0
 * @param fullSpeedLoads loads that run at once at full speed, at least 1; more share that speed
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

  /** Returns how long a load takes at full speed, in milliseconds. */
  double loadMs() {
    return 1_000 * fullSpeedLoads / loadsPerSecond;
  }
}
