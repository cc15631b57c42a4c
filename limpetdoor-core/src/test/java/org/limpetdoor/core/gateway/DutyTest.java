package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;

class DutyTest {
  private static final long LEASE_MS = 3_000;

  /** Guards against two holders that take turns within a lease. */
  @Test
  void waitsForALeaseIfNothingIsKnownOfTheHolderBefore() {
    Duty duty = Duty.NONE.answered(10_000, 9_990, 5, true, LEASE_MS);
    Duty kept = duty;
    for (long atMs = 10_600; atMs <= 13_250; atMs += 600) {
      kept = kept.answered(atMs, atMs - 10, 5, true, LEASE_MS);
    }

    assertThat(duty.acts(10_100)).isFalse();
    assertThat(kept.acts(13_290)).isFalse();
    assertThat(kept.acts(13_400)).isTrue();
  }

  /** Guards against a pause of placement that is longer than the silence of the old holder. */
  @Test
  void countsTheLeaseFromTheLastWordOfTheHolderBefore() {
    Duty duty = Duty.NONE.rivalHeard(4, 10_000).answered(12_500, 12_490, 5, true, LEASE_MS);
    Duty kept = duty.answered(13_250, 13_240, 5, true, LEASE_MS);

    assertThat(kept.acts(13_290)).isFalse();
    assertThat(kept.acts(13_310)).isTrue();
  }

  /** Guards against orders while a third instance may have held the duty in between. */
  @Test
  void waitsInFullIfGenerationsAreMissing() {
    Duty duty = Duty.NONE.rivalHeard(4, 1_000).answered(10_000, 9_990, 7, true, LEASE_MS);

    assertThat(duty.acts(10_100)).isFalse();
  }

  /** Guards against a wait after a holder that has shut down. */
  @Test
  void actsAtOnceAfterAHolderThatLeft() {
    Duty duty =
        Duty.NONE.rivalHeard(4, 10_000).rivalLeft(4).answered(10_100, 10_090, 5, true, LEASE_MS);

    assertThat(duty.acts(10_100)).isTrue();
  }

  /** Guards against orders of a holder that has lost contact with the store. */
  @Test
  void ceasesBeforeTheStoreMayDealTheDutyAnew() {
    Duty duty = Duty.NONE.answered(10_000, 9_990, 5, true, 0);

    assertThat(duty.acts(9_990 + Duty.TTL_MS)).isFalse();
  }

  /** Guards against a late answer that tells an older generation. */
  @Test
  void ignoresAnOlderGeneration() {
    Duty duty = Duty.NONE.answered(10_000, 9_990, 5, false, LEASE_MS);

    assertThat(duty.answered(10_100, 10_090, 4, true, LEASE_MS)).isEqualTo(duty);
  }
}
