package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.id.BackendId;

class PaceMeterTest {
  private static final BackendId ENGINE = new BackendId("e1");

  private final List<Long> reported = new ArrayList<>();
  private final PaceMeter meter =
      new PaceMeter(event -> reported.add(((EnginePaceChanged) event.apply(0L)).gapMs()));
  private long nowMs;

  private void gap(long gapMs) {
    nowMs += gapMs;
    meter.recordGap(ENGINE, gapMs, TimeUnit.MILLISECONDS.toNanos(nowMs));
  }

  /** Guards against submitting an event to the reducer for each event of each stream. */
  @Test
  void reportsSignificantChangesOnly() {
    gap(30);
    gap(34);
    gap(41);
    gap(75);
    gap(80);
    gap(31);

    assertThat(reported).containsExactly(30L, 75L, 31L).inOrder();
  }

  /**
   * Guards against rating an engine as fast because its events were delayed and arrived together.
   */
  @Test
  void ignoresGapsBetweenEventsThatArriveTogether() {
    gap(70);
    gap(1);
    gap(0);

    assertThat(reported).containsExactly(70L);
  }

  /** Guards against a report that becomes outdated while the pace stays the same. */
  @Test
  void repeatsReportsOfASteadyPace() {
    for (int i = 0; i < 12; i++) {
      gap(75);
    }

    assertThat(reported).hasSize(2);
  }

  /** Guards against a map that grows with every engine that ever had a stream. */
  @Test
  void removesEnginesWithoutRecentStreams() {
    gap(30);

    meter.removeOlderThan(TimeUnit.MILLISECONDS.toNanos(nowMs + 1));
    gap(30);

    assertThat(reported).hasSize(2);
  }
}
