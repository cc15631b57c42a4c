package org.limpetdoor.core.decision;

/** Reasons why a back end was chosen. */
public enum RoutingReason {
  /** It had the lowest expected load of all candidates. */
  LEAST_LOADED("least_loaded"),
  /** No other candidate could serve the request. */
  ONLY_CANDIDATE("only_candidate"),
  /** It probably has the start of the prompt in its prefix cache. */
  PREFIX_CACHED("prefix_cached"),
  /** It probably holds the adapter already. */
  ADAPTER_HELD("adapter_held");

  private final String label;

  RoutingReason(String label) {
    this.label = label;
  }

  /** Returns the value used in log lines and metrics. */
  public String label() {
    return label;
  }
}
