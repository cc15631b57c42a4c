package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;

class DutyTest {
  private static final GatewaySettings FENCED = settings(true);

  /** First fencing number of generation 4. */
  private static final long FENCE = 4 * 64;

  private static final GatewaySettings UNFENCED = settings(false);
  private static final InstanceId PEER = new InstanceId("node-2");

  private static GatewaySettings settings(boolean fencingEnforced) {
    return new GatewaySettings(7_000, 0.2, 50, 3_000, fencingEnforced, 2_300);
  }

  /**
   * Guards against two holders that take turns within a lease at engines that follow whoever comes:
   * a process that has just started may not have heard the holder before it.
   */
  @Test
  void waitsForALeaseAfterItsStartIfNothingIsKnownOfTheHolderBefore() {
    Duty duty = Duty.NONE.withStoreAnswer(new DutyAnswered(100, 90, 5, true), 100, UNFENCED, false);
    Duty kept = duty;
    for (long atMs = 700; atMs <= 3_350; atMs += 600) {
      kept =
          kept.withStoreAnswer(new DutyAnswered(atMs, atMs - 10, 5, true), atMs, UNFENCED, false);
    }

    assertThat(duty.maySendOrders(200)).isFalse();
    assertThat(kept.maySendOrders(3_290)).isFalse();
    assertThat(kept.maySendOrders(3_310)).isTrue();
  }

  /** Guards against seconds without placement after all instances have failed at once. */
  @Test
  void actsAtOnceAfterARestartIfEnginesCheckFencingNumbers() {
    Duty duty = Duty.NONE.withStoreAnswer(new DutyAnswered(100, 90, 5, true), 100, FENCED, false);

    assertThat(duty.maySendOrders(110)).isTrue();
  }

  /** Guards against a wait for a holder that would have been heard. */
  @Test
  void actsAtOnceIfNoHolderWasHeardForALease() {
    Duty duty =
        Duty.NONE.withStoreAnswer(new DutyAnswered(9_000, 8_990, 5, true), 9_000, UNFENCED, false);

    assertThat(duty.maySendOrders(9_010)).isTrue();
  }

  /** Guards against a pause of placement that is longer than the silence of the old holder. */
  @Test
  void countsTheLeaseFromTheLastWordOfTheHolderBefore() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FENCE, 10_000)
            .withStoreAnswer(new DutyAnswered(12_500, 12_490, 5, true), 12_500, FENCED, false);
    Duty kept =
        duty.withStoreAnswer(new DutyAnswered(13_250, 13_240, 5, true), 13_250, FENCED, false);

    assertThat(kept.maySendOrders(13_290)).isFalse();
    assertThat(kept.maySendOrders(13_310)).isTrue();
  }

  /** Guards against orders while a third instance may have held the duty in between. */
  @Test
  void waitsInFullIfGenerationsAreMissing() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FENCE, 1_000)
            .withStoreAnswer(new DutyAnswered(10_000, 9_990, 9, true), 10_000, FENCED, false);

    assertThat(duty.maySendOrders(10_100)).isFalse();
  }

  /** Guards against a wait after a holder that has shut down. */
  @Test
  void actsAtOnceAfterAHolderThatLeft() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FENCE, 10_000)
            .withOtherHolderStopped(FENCE, 10_050)
            .withStoreAnswer(new DutyAnswered(10_100, 10_090, 5, true), 10_100, FENCED, false);

    assertThat(duty.maySendOrders(10_100)).isTrue();
  }

  /** Guards against a pause of placement after a holder that has failed. */
  @Test
  void actsAtOnceAfterAHolderThatIsSilent() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FENCE, 10_000)
            .withStoreAnswer(new DutyAnswered(12_500, 12_490, 5, true), 12_500, FENCED, true);

    assertThat(duty.maySendOrders(12_510)).isTrue();
  }

  /** Guards against orders of a holder that has lost contact with the store. */
  @Test
  void ceasesBeforeTheStoreMayDealTheDutyAnew() {
    Duty duty =
        Duty.NONE.withStoreAnswer(new DutyAnswered(10_000, 9_990, 5, true), 10_000, FENCED, false);

    assertThat(duty.maySendOrders(9_990 + Duty.TTL_MS)).isFalse();
  }

  /** Guards against a late answer that tells an older generation. */
  @Test
  void ignoresAnOlderGeneration() {
    Duty duty =
        Duty.NONE.withStoreAnswer(new DutyAnswered(10_000, 9_990, 5, false), 10_000, FENCED, false);

    assertThat(
            duty.withStoreAnswer(new DutyAnswered(10_100, 10_090, 4, true), 10_100, FENCED, false))
        .isEqualTo(duty);
  }

  /**
   * Guards against orders with a fencing number that engines have seen exceeded: the duty was
   * handed on while the store was away, and the store then deals its old generation again.
   */
  @Test
  void exceedsTheNumbersOfAHandover() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FENCE + 2, 10_000)
            .withStoreAnswer(new DutyAnswered(12_500, 12_490, 4, true), 12_500, FENCED, true);
    Duty kept =
        duty.withStoreAnswer(new DutyAnswered(12_900, 12_890, 4, true), 12_900, FENCED, true);

    assertThat(duty.fencingNumber()).isEqualTo(FENCE + 3);
    assertThat(kept.fencingNumber()).isEqualTo(FENCE + 3);
  }

  /**
   * Guards against a wait for a holder that says, after the duty was dealt anew, that it stopped.
   */
  @Test
  void actsAsSoonAsTheHolderBeforeSaysThatItStopped() {
    Duty waiting =
        Duty.NONE
            .withHolderReport(PEER, FENCE, 10_000)
            .withStoreAnswer(new DutyAnswered(10_600, 10_590, 5, true), 10_600, FENCED, false);

    assertThat(waiting.maySendOrders(10_900)).isFalse();
    assertThat(waiting.withPeerNotHolding(PEER, 10_900).maySendOrders(10_910)).isTrue();
  }

  /** Guards against a holder that resumes orders while its successor gives them. */
  @Test
  void givesNoOrdersBesideAHolderWithAHigherNumber() {
    Duty duty =
        Duty.NONE
            .withStoreAnswer(new DutyAnswered(10_000, 9_990, 4, true), 10_000, FENCED, false)
            .withHolderReport(PEER, FENCE + 64, 10_500);

    assertThat(duty.maySendOrders(10_600)).isFalse();
    assertThat(duty.mayContinueWithoutStore(20_000)).isFalse();
  }
}
