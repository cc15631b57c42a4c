package org.limpetdoor.core.agreed;

/** Evidence that an intended order has had no effect and can have none any more. */
public enum AbandonProof {
  /**
   * The order was never sent, and the process that submitted its intent does not send it any more.
   */
  NEVER_SENT,
  /** The engine recorded a higher fencing number before it reported its inventory. */
  INVENTORY_AFTER_FENCE,
  /** The inventory was requested after the longest order delay. */
  INVENTORY_AFTER_DELAY
}
