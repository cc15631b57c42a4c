package org.limpetdoor.core.agreed;

/** Why it is certain that an intended order has no effect. */
public enum AbandonProof {
  /** The order was never sent, and its send window has passed. */
  NEVER_SENT,
  /** The engine took note of a higher fencing number before it gave its inventory. */
  INVENTORY_AFTER_FENCE,
  /** The inventory was asked for after the longest order delay. */
  INVENTORY_AFTER_DELAY
}
