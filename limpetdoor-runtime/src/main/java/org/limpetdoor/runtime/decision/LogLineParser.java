package org.limpetdoor.runtime.decision;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Parses the {@code key=value} pairs of lines that {@link LogLine} built. */
public final class LogLineParser {
  private static final int HEX_DIGITS = 4;

  private final String line;
  private int at;

  private LogLineParser(String line, int at) {
    this.line = line;
    this.at = at;
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
    while (at < line.length()) {
      int equals = line.indexOf('=', at);
      if (equals < 0) {
        return Optional.empty();
      }
      String key = line.substring(at, equals);
      at = equals + 1;
      boolean quoted = at < line.length() && line.charAt(at) == '"';
      pairs.put(key, quoted ? quoted() : plain());
      at++;
    }
    return Optional.of(pairs);
  }

  private String plain() {
    int end = line.indexOf(' ', at);
    String value = line.substring(at, end < 0 ? line.length() : end);
    at += value.length();
    return value;
  }

  private String quoted() {
    StringBuilder value = new StringBuilder();
    at++;
    while (at < line.length() && line.charAt(at) != '"') {
      value.append(line.charAt(at) == '\\' ? escaped() : line.charAt(at));
      at++;
    }
    at++;
    return value.toString();
  }

  private char escaped() {
    at++;
    if (at >= line.length()) {
      return '\\';
    }
    boolean unicode = line.charAt(at) == 'u' && at + HEX_DIGITS < line.length();
    if (!unicode) {
      return line.charAt(at);
    }
    String digits = line.substring(at + 1, at + 1 + HEX_DIGITS);
    at += HEX_DIGITS;
    return digits.matches("[0-9a-f]{4}") ? (char) Integer.parseInt(digits, 16) : '?';
  }
}
