package org.limpetdoor.cli;

import org.limpetdoor.format.json.HostPort;

/** Parses addresses given as options. */
final class Addresses {
  private Addresses() {}

  /**
   * Returns the address in its normalized form.
   *
   * @param option name of the option, for the error message
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
