package org.limpetdoor.core.id;

/**
 * Identifies one model.
 *
 * @param value a name of 1 to 128 characters: letters, digits, {@code . _ - : /}
 */
public record ModelId(String value) implements Comparable<ModelId> {
  /**
   * Checks the format of the name.
   *
   * @throws InvalidNameException if the name does not have this format
   */
  public ModelId {
    Names.check(value);
  }

  @Override
  public int compareTo(ModelId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
