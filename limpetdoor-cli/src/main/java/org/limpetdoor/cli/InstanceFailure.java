package org.limpetdoor.cli;

/** Why a call of an instance's operator interface failed. Operator calls may always be repeated. */
enum InstanceFailure {
  /** No connection was made. */
  UNREACHABLE(ExitCode.INSTANCE_UNAVAILABLE),
  /** The connection was lost or no whole answer came in time. */
  ANSWER_LOST(ExitCode.INSTANCE_UNAVAILABLE),
  /** The answer has another status than expected. */
  REFUSED(ExitCode.INSTANCE_REFUSED),
  /** The instance keeps no decision about the request. */
  UNKNOWN_REQUEST(ExitCode.UNKNOWN_REQUEST),
  /** The answer is not JSON of the expected form. */
  MALFORMED_ANSWER(ExitCode.INSTANCE_REFUSED);

  private final ExitCode exitCode;

  InstanceFailure(ExitCode exitCode) {
    this.exitCode = exitCode;
  }

  /** Returns the exit code of a command that ends with this failure. */
  ExitCode exitCode() {
    return exitCode;
  }
}
