package org.limpetdoor.core.id;

/**
 * Identifies one back end: an engine or an endpoint of a plain service.
 *
 * @param value a name of 1 to 128 characters: letters, digits, {@code . _ - : /}
 */
public record BackendId(String value) implements Comparable<BackendId> {
  /**
   * Checks the format of the name.
   *
   * @throws InvalidNameException if the name does not have this format
   */
  public BackendId {
    Names.check(value);
  }

  @Override
  public int compareTo(BackendId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
