package org.limpetdoor.core.agreed;

/** Outcome of an append that the log did not answer with an offset. */
public enum AppendFailure {
  /** The log did not store it. */
  NOT_TAKEN,
  /** The log may have stored it. */
  OUTCOME_UNKNOWN
}
