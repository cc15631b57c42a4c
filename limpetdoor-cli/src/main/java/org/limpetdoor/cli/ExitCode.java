package org.limpetdoor.cli;

/** Exit codes of the command line. Scripts rely on them, so they never change. */
public enum ExitCode {
  /** The command did what it was asked to do. */
  OK(0, ""),
  /** An unexpected fault of the program. */
  INTERNAL(1, "report the fault together with the command"),
  /** The command line is wrong. */
  USAGE(2, "see 'limpetdoor help'"),
  /** A document or other input is wrong; nothing was changed. */
  INVALID_INPUT(3, "correct the input at the named place and repeat the command"),
  /** Another publication came first; nothing was changed. */
  CONFLICT(4, "run 'limpetdoor diff' against the version in force, merge and publish again"),
  /** The log service cannot be used; nothing was changed. */
  LOG_UNAVAILABLE(5, "check the address given with --log and repeat the command later"),
  /** The record may or may not have been appended. */
  OUTCOME_UNKNOWN(
      6, "run 'limpetdoor history' to see whether the publication arrived before repeating it"),
  /** The log no longer holds all records, so the version in force cannot be computed from it. */
  HISTORY_INCOMPLETE(7, "use a log that retains the records since the first publication"),
  /** The log service refused the call as wrong; nothing was changed. */
  LOG_REFUSED(8, "check --stream, and publish a large change in several smaller ones");

  private final int status;
  private final String nextStep;

  ExitCode(int status, String nextStep) {
    this.status = status;
    this.nextStep = nextStep;
  }

  /** Returns the exit status of the process. */
  public int status() {
    return status;
  }

  /** Returns what to try next, or an empty text after success. */
  public String nextStep() {
    return nextStep;
  }
}
