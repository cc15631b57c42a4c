package org.limpetdoor.standin.log;

import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of the log service.
 *
 * @param address where it listens
 * @param retainRecords records kept in each stream; 0 keeps all
 * @param retainMs how long records are kept, in milliseconds; 0 keeps them for ever
 * @param appendsPerSecond appends over all streams; more wait. 0 sets no limit
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

  /** Returns the time between two appends in milliseconds. */
  double appendIntervalMs() {
    return appendsPerSecond == 0 ? 0 : 1_000 / appendsPerSecond;
  }
}
