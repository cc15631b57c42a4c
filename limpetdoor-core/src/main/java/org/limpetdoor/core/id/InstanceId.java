package org.limpetdoor.core.id;

/**
 * Identifies one limpetdoor instance.
 *
 * @param value a name of 1 to 128 characters: letters, digits, {@code . _ - : /}
 */
public record InstanceId(String value) implements Comparable<InstanceId> {
  /**
   * Checks the format of the name.
   *
   * @throws InvalidNameException if the name does not have this format
   */
  public InstanceId {
    Names.check(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
