package org.limpetdoor.cli;

/** Exit codes of the command line. Scripts rely on them, so they never change. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0, ""),
  /** The program failed unexpectedly. */
  INTERNAL(1, "report the fault together with the command"),
  /** The command line is wrong. */
  USAGE(2, "see 'limpetdoor help'"),
  /** A document or other input is invalid; nothing was changed. */
  INVALID_INPUT(3, "correct the input at the named place and repeat the command"),
  /** Another publication was accepted first; nothing was changed. */
  CONFLICT(4, "run 'limpetdoor diff' against the version in force, merge and publish again"),
  /** The log service cannot be used; nothing was changed. */
  LOG_UNAVAILABLE(5, "check the address given with --log and repeat the command later"),
  /** The record may or may not have been appended. */
  OUTCOME_UNKNOWN(
      6, "run 'limpetdoor history' to see whether the publication arrived before repeating it"),
  /** The log no longer retains all records, so the version in force cannot be computed. */
  HISTORY_INCOMPLETE(7, "use a log that retains the records since the first publication"),
  /** The log service refused the call as invalid; nothing was changed. */
  LOG_REFUSED(8, "check --stream, and publish a large change in several smaller ones"),
  /** An instance does not answer. */
  INSTANCE_UNAVAILABLE(
      9,
      "check that the instance runs and that --instance names its operator address, then repeat"
          + " the command, which is safe"),
  /** An instance returned a response that its operator interface does not define. */
  INSTANCE_REFUSED(
      10, "check that --instance names the operator address of an instance of this version"),
  /** The instance has no decisions about the request. */
  UNKNOWN_REQUEST(
      11, "ask the other instances; each keeps only the decisions of its latest requests"),
  /** The publication was accepted, but is not in force on every instance waited for. */
  NOT_IN_FORCE(
      12, "run 'limpetdoor status' on the named instances; the publication stays accepted"),
  /** The version to roll forward to was never in force; nothing was changed. */
  UNKNOWN_VERSION(13, "run 'limpetdoor history' and choose the offset of an accepted publication"),
  /** The log holds a record of a later version; nothing was changed. */
  LATER_VERSION_NEEDED(14, "use the command line of the version that wrote the record");

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

  /** Returns advice on what to do next, or an empty string after success. */
  public String nextStep() {
    return nextStep;
  }
}
