package org.limpetdoor.core;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class PollScheduleTest {
  private static final long WAIT_MS = 2_000;
  private static final long PAUSE_MS = 300;

  private final PollSchedule schedule = PollSchedule.of(WAIT_MS, PAUSE_MS);

  /** Guards against a delay that is added to a timeout. */
  @Test
  void repeatsAReadAtOnceThatTookLongerThanTheDelay() {
    assertThat(schedule.afterFailure().nextDelayMs(2_700)).isEqualTo(0);
    assertThat(schedule.afterFailure().nextDelayMs(100)).isEqualTo(150);
  }

  /** Guards against a store that refuses reads and gets more of them the longer it does. */
  @Test
  void doublesTheDelayOfReadsThatFailAtOnceUpToASecond() {
    PollSchedule next = schedule;
    for (long delayMs : new long[] {250, 500, 1_000, 1_000}) {
      next = next.afterFailure();
      assertThat(next.nextDelayMs(0)).isEqualTo(delayMs);
    }
  }

  /** Guards against a read that is sent before the return of a log and waits for its full time. */
  @Test
  void waitsForRecordsOnlyAfterAReadThatSucceeded() {
    assertThat(schedule.nextWaitMs()).isEqualTo(WAIT_MS);
    assertThat(schedule.afterFailure().nextWaitMs()).isEqualTo(0);
    assertThat(schedule.afterFailure().afterSuccess().nextWaitMs()).isEqualTo(WAIT_MS);
    assertThat(schedule.afterFailure().afterSuccess().nextDelayMs(50)).isEqualTo(PAUSE_MS);
  }
}
