package org.limpetdoor.core.id;

/**
 * Identifies one availability zone.
 *
 * @param value a name of 1 to 128 characters: letters, digits, {@code . _ - : /}
 */
public record ZoneId(String value) implements Comparable<ZoneId> {
  /**
   * Checks the format of the name.
   *
   * @throws InvalidNameException if the name does not have this format
   */
  public ZoneId {
    Names.check(value);
  }

  @Override
  public int compareTo(ZoneId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
