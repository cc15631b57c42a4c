package org.limpetdoor.core.decision;

/** What the holder of a lease does about an engine, and why. */
public enum PlacementReason {
  /** A load is intended because a model has too few replicas or zones. */
  BELOW_MINIMUM("load", "below_minimum"),
  /** A load is intended because the replicas of a model are short of slots. */
  DEMAND("load", "demand"),
  /** An unload is intended because the memory is needed and the replica is not. */
  SURPLUS("unload", "surplus"),
  /** The intent was read back from the log in time. */
  INTENT_READ_BACK("order_sent", "intent_read_back"),
  /** The intent was read back after its send window. */
  SEND_WINDOW_PASSED("abandoned", "send_window_passed"),
  /** Earlier loads have used up what the weight store serves at once. */
  STORE_BUSY("abandoned", "weight_store_busy"),
  /** The order was not answered; the engine gets a higher fencing number. */
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

  /** Returns what is done. */
  public String result() {
    return result;
  }

  /** Returns why. */
  public String label() {
    return label;
  }
}
