package org.limpetdoor.core.decision;

/** Actions of a lease holder at an engine, each with its reason. */
public enum PlacementReason {
  /** A load is planned because a model has too few replicas or zones. */
  BELOW_MINIMUM("load", "below_minimum"),
  /** A load is planned because the replicas of a model have too few slots. */
  DEMAND("load", "demand"),
  /** An unload is planned because the memory is needed and the replica is not. */
  SURPLUS("unload", "surplus"),
  /** The order is sent because the intent was read back from the log within its send window. */
  INTENT_READ_BACK("order_sent", "intent_read_back"),
  /** The intent is abandoned because it was read back after its send window. */
  SEND_WINDOW_PASSED("abandoned", "send_window_passed"),
  /** The intent is abandoned because earlier loads use the whole capacity of the weight store. */
  STORE_BUSY("abandoned", "weight_store_busy"),
  /** The order was not answered, so the engine is sent a higher fencing number. */
  OUTCOME_UNKNOWN("fence_sent", "outcome_unknown"),
  /** The engine answered that it carried out the order. */
  ANSWERED("confirmed", "answered"),
  /** The inventory shows that the order was carried out. */
  INVENTORY_SHOWS_EFFECT("confirmed", "inventory"),
  /** The inventory shows that the order was not carried out. */
  INVENTORY_SHOWS_NO_EFFECT("abandoned", "inventory");

  private final String result;
  private final String label;

  PlacementReason(String result, String label) {
    this.result = result;
    this.label = label;
  }

  /** Returns the {@code result} value in log lines. */
  public String result() {
    return result;
  }

  /** Returns the {@code reason} value in log lines. */
  public String label() {
    return label;
  }
}
