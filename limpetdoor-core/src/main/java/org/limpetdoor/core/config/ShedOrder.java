package org.limpetdoor.core.config;

/** Order in which customers are refused when capacity is short. */
public enum ShedOrder {
  /** Refused before all others. */
  FIRST(0),
  /** Refused after {@link #FIRST}. */
  NORMAL(1),
  /** Refused only when no work of the other orders is left to refuse. */
  LAST(2);

  private final int rank;

  ShedOrder(int rank) {
    this.rank = rank;
  }

  /** Returns whether work of this order is refused before work of the other. */
  public boolean isShedBefore(ShedOrder other) {
    return rank < other.rank;
  }
}
