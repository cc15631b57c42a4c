package org.limpetdoor.runtime;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class SuspensionDetectorTest {
  private long timeOfDayMs = 1_000_000;
  private final SuspensionDetector detector = new SuspensionDetector(() -> timeOfDayMs, 0);

  /** Guards against a wake that is not noticed, since the monotonic clock stood still. */
  @Test
  void reportsTimeThatOnlyTheTimeOfDayHasCounted() {
    timeOfDayMs += 5_100;

    assertThat(detector.lostMs(100)).isEqualTo(5_000);
    assertThat(detector.lostMs(100)).isEqualTo(0);
  }

  /** Guards against suspicions while both clocks run, or while the time of day is adjusted. */
  @Test
  void reportsNothingForSmallOrNegativeDifferences() {
    timeOfDayMs += 1_100;
    assertThat(detector.lostMs(1_000)).isEqualTo(0);

    timeOfDayMs -= 4_000;
    assertThat(detector.lostMs(1_010)).isEqualTo(0);
  }
}
