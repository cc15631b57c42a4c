package org.limpetdoor.cli;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a command cannot do what it was asked to do. */
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
