package org.limpetdoor.runtime.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LogLineParserTest {
  /** Guards against values that the parser reads differently from how they were written. */
  @Test
  void logLinesRoundTrip() {
    String line =
        LogLine.event("call_refused").with("call", "a b=\"c\"\n\\").with("status", 503).toString();

    assertThat(LogLineParser.parse(line))
        .isEqualTo(
            Optional.of(Map.of("event", "call_refused", "call", "a b=\"c\"\n\\", "status", "503")));
  }

  /** Guards against ignoring lines that a log collector prefixed with a time. */
  @Test
  void skipsThePrefixOfALogCollector() {
    assertThat(LogLineParser.parse("12.5 node-1 event=duty state=held").orElseThrow())
        .containsExactly("event", "duty", "state", "held");
  }

  /** Guards against parsing lines of other formats as decisions. */
  @Test
  void rejectsLinesOfOtherFormats() {
    assertThat(LogLineParser.parse("SEVERE: no pairs")).isEqualTo(Optional.empty());
    assertThat(LogLineParser.parse("xevent=duty")).isEqualTo(Optional.empty());
    assertThat(LogLineParser.parse("event=duty and more")).isEqualTo(Optional.empty());
  }
}
