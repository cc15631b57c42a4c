package org.limpetdoor.runtime.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Parses the {@code key=value} pairs of lines that {@link LogLine} built. */
public final class LogLineParser {
  private static final int HEX_DIGITS = 4;

  private final String line;
  private int position;

  private LogLineParser(String line, int position) {
    this.line = line;
    this.position = position;
  }

  /**
   * Returns the pairs of a line in their order, or empty if the line does not have this format. A
   * prefix that a log collector added before the first pair is skipped.
   */
  public static Optional<Map<String, String>> parse(String line) {
    int start = line.indexOf("event=");
    boolean separate = start == 0 || (start > 0 && line.charAt(start - 1) == ' ');
    return separate ? new LogLineParser(line, start).pairs() : Optional.empty();
  }

  private Optional<Map<String, String>> pairs() {
    Map<String, String> pairs = new LinkedHashMap<>();
    while (position < line.length()) {
      int equals = line.indexOf('=', position);
      if (equals < 0) {
        return Optional.empty();
      }
      String key = line.substring(position, equals);
      position = equals + 1;
      boolean quoted = position < line.length() && line.charAt(position) == '"';
      pairs.put(key, quoted ? quoted() : plain());
      position++;
    }
    return Optional.of(pairs);
  }

  private String plain() {
    int end = line.indexOf(' ', position);
    String value = line.substring(position, end < 0 ? line.length() : end);
    position += value.length();
    return value;
  }

  private String quoted() {
    StringBuilder value = new StringBuilder();
    position++;
    while (position < line.length() && line.charAt(position) != '"') {
      value.append(line.charAt(position) == '\\' ? escaped() : line.charAt(position));
      position++;
    }
    position++;
    return value.toString();
  }

  private char escaped() {
    position++;
    if (position >= line.length()) {
      return '\\';
    }
    boolean unicode = line.charAt(position) == 'u' && position + HEX_DIGITS < line.length();
    if (!unicode) {
      return line.charAt(position);
    }
    String digits = line.substring(position + 1, position + 1 + HEX_DIGITS);
    position += HEX_DIGITS;
    return digits.matches("[0-9a-f]{4}") ? (char) Integer.parseInt(digits, 16) : '?';
  }
}
