package org.limpetdoor.cli;

/** Reasons why a call of the operator interface failed. All its calls are safe to repeat. */
enum InstanceFailure {
  /** No connection was established. */
  UNREACHABLE(ExitCode.INSTANCE_UNAVAILABLE),
  /** The connection was lost, or no complete response arrived in time. */
  ANSWER_LOST(ExitCode.INSTANCE_UNAVAILABLE),
  /** The response has an unexpected status. */
  REFUSED(ExitCode.INSTANCE_REFUSED),
  /** The instance has no decisions about the request. */
  UNKNOWN_REQUEST(ExitCode.UNKNOWN_REQUEST),
  /** The response is not JSON of the expected form. */
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
