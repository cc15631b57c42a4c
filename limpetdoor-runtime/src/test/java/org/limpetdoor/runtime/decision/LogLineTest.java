package org.limpetdoor.runtime.decision;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

final class LogLineTest {
  /** Guards against log injection by values that contain separators or line breaks. */
  @Test
  void valuesAreQuotedAndEscaped() {
    LogLine line =
        LogLine.event("route").with("a", "plain").with("b", "two words").with("c", "x\"\ny=1");

    assertThat(line.toString())
        .isEqualTo("event=route a=plain b=\"two words\" c=\"x\\\"\\u000ay=1\"");
  }
}
