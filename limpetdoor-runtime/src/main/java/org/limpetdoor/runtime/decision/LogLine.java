package org.limpetdoor.runtime.decision;

import org.limpetdoor.core.decision.Decision;

/** Builder of a log line of {@code key=value} pairs. */
public final class LogLine {
  private final StringBuilder text = new StringBuilder();

  private LogLine() {}

  /** Returns a line that begins with the name of an event. */
  public static LogLine event(String name) {
    return new LogLine().with("event", name);
  }

  /** Returns the line that describes a decision. */
  public static LogLine of(Decision decision) {
    LogLine line = event(decision.kind().eventName());
    line.with(decision.kind().subjectKey(), decision.subject());
    decision.fields().forEach(field -> line.with(field.key(), field.value()));
    return line;
  }

  /** Appends a pair. The value is quoted if it is empty or contains a separator or a quote. */
  public LogLine with(String key, Object value) {
    if (text.length() > 0) {
      text.append(' ');
    }
    text.append(key).append('=').append(quoted(String.valueOf(value)));
    return this;
  }

  @Override
  public String toString() {
    return text.toString();
  }

  private static String quoted(String value) {
    boolean plain = !value.isEmpty() && value.chars().noneMatch(LogLine::needsQuotes);
    if (plain) {
      return value;
    }
    StringBuilder quoted = new StringBuilder("\"");
    value.chars().forEach(c -> appendEscaped(quoted, (char) c));
    return quoted.append('"').toString();
  }

  private static boolean needsQuotes(int c) {
    return c <= ' ' || c == '"' || c == '=' || c == 0x7f;
  }

  /** Appends a character. Control characters are escaped to prevent log injection. */
  private static void appendEscaped(StringBuilder out, char c) {
    if (c == '"' || c == '\\') {
      out.append('\\').append(c);
    } else if (c < ' ' || c == 0x7f) {
      out.append(String.format("\\u%04x", (int) c));
    } else {
      out.append(c);
    }
  }
}
