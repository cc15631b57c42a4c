package org.limpetdoor.core.id;

/**
 * SHA-256 digest of a caller's key. Keys themselves are never stored or logged.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record KeyDigest(String hex) {
  private static final int LENGTH_CHARS = 64;

  /**
   * Checks the format of the digest.
   *
   * @throws InvalidNameException if the digest is not 64 lower-case hexadecimal digits
   */
  public KeyDigest {
    if (hex == null
        || hex.length() != LENGTH_CHARS
        || !hex.chars().allMatch(KeyDigest::isHexDigit)) {
      throw new InvalidNameException(hex);
    }
  }

  private static boolean isHexDigit(int c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  }
}
