package org.limpetdoor.standin.log;

import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of the log service.
 *
 * @param address listen address
 * @param retainRecords maximum number of records retained in each stream; 0 retains all
 * @param retainMs retention time of records in milliseconds; 0 retains them for ever
 * @param appendsPerSecond rate limit over all streams, beyond which appends wait; 0 for no limit
 */
public record LogSettings(
    ListenAddress address, int retainRecords, long retainMs, double appendsPerSecond)
    implements StandinSettings {
  /** Checks the ranges. */
  public LogSettings {
    if (address == null || retainRecords < 0 || retainMs < 0 || !(appendsPerSecond >= 0)) {
      throw new IllegalArgumentException(
          "address is required; retainRecords, retainMs and appendsPerSecond must be at least 0");
    }
  }

  @Override
  public StandinRole role() {
    return StandinRole.LOG;
  }

  /** Returns the minimum interval between two appends in milliseconds. */
  double appendIntervalMs() {
    return appendsPerSecond == 0 ? 0 : 1_000 / appendsPerSecond;
  }
}
