package org.limpetdoor.core.id;

/**
 * Identifies one adapter of a model.
 *
 * @param value a name of 1 to 128 characters: letters, digits, {@code . _ - : /}
 */
public record AdapterId(String value) implements Comparable<AdapterId> {
  /**
   * Checks the format of the name.
   *
   * @throws InvalidNameException if the name does not have this format
   */
  public AdapterId {
    Names.check(value);
  }

  @Override
  public int compareTo(AdapterId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
