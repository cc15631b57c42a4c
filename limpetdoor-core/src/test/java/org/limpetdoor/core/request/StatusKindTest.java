package org.limpetdoor.core.request;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class StatusKindTest {
  /** Guards against a bound that is off by one. */
  @ParameterizedTest
  @CsvSource({
    "100,INTERIM",
    "102,INTERIM",
    "199,INTERIM",
    "200,FINAL",
    "599,FINAL",
    "101,INVALID",
    "099,INVALID",
    "600,INVALID",
    "000,INVALID",
    "999,INVALID"
  })
  void classifiesCodes(String code, StatusKind expected) {
    assertThat(StatusKind.of(code)).isEqualTo(expected);
    assertThat(StatusKind.of(Integer.parseInt(code))).isEqualTo(expected);
  }

  /** Guards against a code that a lenient parser takes for another one. */
  @ParameterizedTest
  @ValueSource(strings = {"", "20", "0200", "1000", "2x0", "-200", "+20", "+200", " 200"})
  void rejectsCodesOfOtherThanThreeDigits(String code) {
    assertThat(StatusKind.of(code)).isEqualTo(StatusKind.INVALID);
  }

  /** Guards against digits of other scripts, which parsers of numbers accept. */
  @Test
  void rejectsDigitsOfOtherScripts() {
    assertThat(StatusKind.of("\u0662\u0660\u0660")).isEqualTo(StatusKind.INVALID);
  }
}
