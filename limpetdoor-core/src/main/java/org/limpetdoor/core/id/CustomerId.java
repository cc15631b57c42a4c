package org.limpetdoor.core.id;

/**
 * Identifies one customer, the holder of a contract.
 *
 * @param value a name of 1 to 128 characters: letters, digits, {@code . _ - : /}
 */
public record CustomerId(String value) implements Comparable<CustomerId> {
  /**
   * Checks the format of the name.
   *
   * @throws InvalidNameException if the name does not have this format
   */
  public CustomerId {
    Names.check(value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
