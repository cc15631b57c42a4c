package org.limpetdoor.core.agreed;

/** What is known of an append that was not answered with an offset. */
public enum AppendFailure {
  /** The log did not store it. */
  NOT_TAKEN,
  /** The log may have stored it. */
  OUTCOME_UNKNOWN
}
