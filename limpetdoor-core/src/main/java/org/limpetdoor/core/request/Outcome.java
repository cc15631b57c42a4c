package org.limpetdoor.core.request;

/** Whether a request ran, as far as this instance can tell. */
public enum Outcome {
  /** The request did not run. */
  NOT_RUN("not_run"),
  /** The request may have run. */
  UNKNOWN("unknown"),
  /** The request ran to a known result. */
  RAN("ran");

  private final String label;

  Outcome(String label) {
    this.label = label;
  }

  /** Returns the value of the {@code outcome} member in problem documents. */
  public String label() {
    return label;
  }
}
