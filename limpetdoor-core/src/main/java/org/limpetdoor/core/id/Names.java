package org.limpetdoor.core.id;

/** Checks the format of names used as identifiers. */
final class Names {
  private static final int MAX_LENGTH_CHARS = 128;

  private Names() {}

  static void check(String value) {
    if (value == null || value.isEmpty() || value.length() > MAX_LENGTH_CHARS) {
      throw new InvalidNameException(value);
    }
    if (!value.chars().allMatch(Names::isNameChar)) {
      throw new InvalidNameException(value);
    }
  }

  private static boolean isNameChar(int c) {
    return (c >= 'a' && c <= 'z')
        || (c >= 'A' && c <= 'Z')
        || (c >= '0' && c <= '9')
        || "._-:/".indexOf(c) >= 0;
  }
}
