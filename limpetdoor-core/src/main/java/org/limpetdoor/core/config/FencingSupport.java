package org.limpetdoor.core.config;

/** Whether an engine refuses orders with an old fencing number. */
public enum FencingSupport {
  /**
   * The engine refuses an order whose fencing number is lower than the highest that it has
   * received.
   */
  CHECKED(false),
  /**
   * The engine ignores the fencing number. A late order can still take effect, so memory stays
   * reserved for the longest order delay.
   */
  IGNORED(true);

  private final boolean acceptsLateOrders;

  FencingSupport(boolean acceptsLateOrders) {
    this.acceptsLateOrders = acceptsLateOrders;
  }

  /** Returns whether an order of an earlier lease can still take effect when it arrives late. */
  public boolean acceptsLateOrders() {
    return acceptsLateOrders;
  }
}
