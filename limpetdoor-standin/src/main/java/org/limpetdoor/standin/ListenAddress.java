package org.limpetdoor.standin;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A loopback address to listen on.
 *
 * @param host IP address in 127.0.0.0/8
 * @param port port, 0 to 65535; 0 selects a free port
 */
public record ListenAddress(String host, int port) {
  private static final Pattern ADDRESS_PATTERN =
      Pattern.compile("(127(?:\\.\\d{1,3}){3}):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  /** Parses an address such as {@code 127.0.0.1:18101}. */
  @JsonCreator
  public static ListenAddress parse(String text) {
    Matcher matcher = ADDRESS_PATTERN.matcher(text);
    if (!matcher.matches() || Integer.parseInt(matcher.group(2)) > MAX_PORT) {
      throw new IllegalArgumentException(
          "address must be a loopback address and port like 127.0.0.1:18101, not " + text);
    }
    return new ListenAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }

  @JsonValue
  @Override
  public String toString() {
    return host + ":" + port;
  }
}
