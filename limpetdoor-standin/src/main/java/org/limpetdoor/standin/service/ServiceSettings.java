package org.limpetdoor.standin.service;

import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of a plain service.
 *
 * @param address listen address
 * @param runMs duration of a call in milliseconds, at least 0
 */
public record ServiceSettings(ListenAddress address, long runMs) implements StandinSettings {
  /** Checks the ranges. */
  public ServiceSettings {
    if (address == null || runMs < 0) {
      throw new IllegalArgumentException("address is required; runMs must be at least 0");
    }
  }

  @Override
  public StandinRole role() {
    return StandinRole.SERVICE;
  }
}
