package org.limpetdoor.cli;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a command fails with a known exit code. */
final class CliException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;

  CliException(ExitCode exitCode, String message, Throwable cause) {
    super(message, null, cause);
    this.exitCode = exitCode;
  }

  ExitCode exitCode() {
    return exitCode;
  }
}
