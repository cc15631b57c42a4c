package org.limpetdoor.core.decision;

/** Why a back end was chosen. */
public enum RoutingReason {
  /** It had the lowest expected load of all candidates. */
  LEAST_LOADED("least_loaded"),
  /** No other candidate was in service. */
  ONLY_CANDIDATE("only_candidate"),
  /** It probably has the start of the prompt in its prefix cache. */
  PREFIX_CACHED("prefix_cached"),
  /** It already holds the adapter. */
  ADAPTER_HELD("adapter_held");

  private final String label;

  RoutingReason(String label) {
    this.label = label;
  }

  /** Returns the word used in log lines and metrics. */
  public String label() {
    return label;
  }
}
