package org.limpetdoor.core.gateway;

import java.util.Comparator;

/**
 * A position in a topic of the store. The store gives offsets out again when it is restored from a
 * copy, so positions are ordered by era first.
 *
 * @param era era of the store, which rises by one with each restoration
 * @param offset offset in the topic, or -1 before the first read
 */
public record StorePosition(long era, long offset) implements Comparable<StorePosition> {
  /** Position before the first read. */
  public static final StorePosition NONE = new StorePosition(0, -1);

  private static final Comparator<StorePosition> ORDER =
      Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::offset);

  @Override
  public int compareTo(StorePosition other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether this position is after the other one. */
  public boolean isAfter(StorePosition other) {
    return compareTo(other) > 0;
  }

  /** Returns whether something was read. */
  boolean isKnown() {
    return offset >= 0;
  }
}
