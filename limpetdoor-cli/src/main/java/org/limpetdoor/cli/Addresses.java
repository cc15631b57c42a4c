package org.limpetdoor.cli;

import org.limpetdoor.format.json.HostPort;

/** Reads addresses that are given as options. */
final class Addresses {
  private Addresses() {}

  /**
   * Returns the address.
   *
   * @throws CliException if the text is not an address
   */
  static String parse(String option, String text) {
    try {
      return HostPort.parse(text).toString();
    } catch (HostPort.InvalidAddressException e) {
      throw new CliException(ExitCode.USAGE, option + ": " + e.getMessage(), e);
    }
  }
}
