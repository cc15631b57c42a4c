package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;

class DutyTest {
  private static final long LEASE_MS = 3_000;
  private static final InstanceId PEER = new InstanceId("node-2");

  /** Guards against two holders that take turns within a lease. */
  @Test
  void waitsForALeaseIfNothingIsKnownOfTheHolderBefore() {
    Duty duty =
        Duty.NONE.answered(new DutyAnswered(10_000, 9_990, 5, true), 10_000, LEASE_MS, false);
    Duty kept = duty;
    for (long atMs = 10_600; atMs <= 13_250; atMs += 600) {
      kept = kept.answered(new DutyAnswered(atMs, atMs - 10, 5, true), atMs, LEASE_MS, false);
    }

    assertThat(duty.acts(10_100)).isFalse();
    assertThat(kept.acts(13_290)).isFalse();
    assertThat(kept.acts(13_400)).isTrue();
  }

  /** Guards against a pause of placement that is longer than the silence of the old holder. */
  @Test
  void countsTheLeaseFromTheLastWordOfTheHolderBefore() {
    Duty duty =
        Duty.NONE
            .rivalHeard(PEER, 4, 10_000)
            .answered(new DutyAnswered(12_500, 12_490, 5, true), 12_500, LEASE_MS, false);
    Duty kept = duty.answered(new DutyAnswered(13_250, 13_240, 5, true), 13_250, LEASE_MS, false);

    assertThat(kept.acts(13_290)).isFalse();
    assertThat(kept.acts(13_310)).isTrue();
  }

  /** Guards against orders while a third instance may have held the duty in between. */
  @Test
  void waitsInFullIfGenerationsAreMissing() {
    Duty duty =
        Duty.NONE
            .rivalHeard(PEER, 4, 1_000)
            .answered(new DutyAnswered(10_000, 9_990, 9, true), 10_000, LEASE_MS, false);

    assertThat(duty.acts(10_100)).isFalse();
  }

  /** Guards against a wait after a holder that has shut down. */
  @Test
  void actsAtOnceAfterAHolderThatLeft() {
    Duty duty =
        Duty.NONE
            .rivalHeard(PEER, 4, 10_000)
            .rivalLeft(4)
            .answered(new DutyAnswered(10_100, 10_090, 5, true), 10_100, LEASE_MS, false);

    assertThat(duty.acts(10_100)).isTrue();
  }

  /** Guards against a pause of placement after a holder that has failed. */
  @Test
  void actsAtOnceAfterAHolderThatIsSilent() {
    Duty duty =
        Duty.NONE
            .rivalHeard(PEER, 4, 10_000)
            .answered(new DutyAnswered(12_500, 12_490, 5, true), 12_500, LEASE_MS, true);

    assertThat(duty.acts(12_510)).isTrue();
  }

  /** Guards against orders of a holder that has lost contact with the store. */
  @Test
  void ceasesBeforeTheStoreMayDealTheDutyAnew() {
    Duty duty = Duty.NONE.answered(new DutyAnswered(10_000, 9_990, 5, true), 10_000, 0, false);

    assertThat(duty.acts(9_990 + Duty.TTL_MS)).isFalse();
  }

  /** Guards against a late answer that tells an older generation. */
  @Test
  void ignoresAnOlderGeneration() {
    Duty duty =
        Duty.NONE.answered(new DutyAnswered(10_000, 9_990, 5, false), 10_000, LEASE_MS, false);

    assertThat(duty.answered(new DutyAnswered(10_100, 10_090, 4, true), 10_100, LEASE_MS, false))
        .isEqualTo(duty);
  }
}
