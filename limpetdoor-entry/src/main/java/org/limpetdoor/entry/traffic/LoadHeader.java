package org.limpetdoor.entry.traffic;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Load that a back end reports in a response header.
 *
 * @param running number of calls being executed
 * @param queued number of queued calls
 */
record LoadHeader(int running, int queued) {
  private static final Pattern FORMAT = Pattern.compile("running=(\\d{1,9});\\s*queued=(\\d{1,9})");

  /** Parses the header value; returns an empty result if it is null or malformed. */
  static Optional<LoadHeader> parse(String value) {
    Matcher matcher = FORMAT.matcher(value == null ? "" : value.strip());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int running = Integer.parseInt(matcher.group(1));
    return Optional.of(new LoadHeader(running, Integer.parseInt(matcher.group(2))));
  }
}
