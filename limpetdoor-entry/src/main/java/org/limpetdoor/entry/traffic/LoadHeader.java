package org.limpetdoor.entry.traffic;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Load that a back end reports with an answer.
 *
 * @param running calls in execution
 * @param queued calls that wait
 */
record LoadHeader(int running, int queued) {
  private static final Pattern FORM = Pattern.compile("running=(\\d{1,9});\\s*queued=(\\d{1,9})");

  /** Returns the load, or nothing if the header is absent or has another form. */
  static Optional<LoadHeader> parse(String value) {
    Matcher matcher = FORM.matcher(value == null ? "" : value.strip());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    int running = Integer.parseInt(matcher.group(1));
    return Optional.of(new LoadHeader(running, Integer.parseInt(matcher.group(2))));
  }
}
