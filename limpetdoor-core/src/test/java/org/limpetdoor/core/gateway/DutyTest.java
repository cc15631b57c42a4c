package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;

class DutyTest {
  private static final GatewaySettings FENCED = settings(true);

  /** First fencing number of generation 4. */
  private static final long FIRST_FENCING_NUMBER = 4 * 64;

  private static final GatewaySettings UNFENCED = settings(false);
  private static final InstanceId PEER = new InstanceId("node-2");

  private static GatewaySettings settings(boolean fencingEnforced) {
    return new GatewaySettings(7_000, 0.2, 50, 3_000, fencingEnforced, 2_300, 1_000, 1_200);
  }

  /**
   * Guards against two holders that alternate within a lease at engines that do not check fencing
   * numbers: a process that has just started may not have received a digest of the previous holder.
   */
  @Test
  void waitsForALeaseAfterItsStartIfThePreviousHolderIsUnknown() {
    Duty duty =
        Duty.NONE.withStoreResponse(new DutyAnswered(100, 90, 0, 5, true), 100, UNFENCED, false);
    Duty renewed = duty;
    for (long atMs = 700; atMs <= 3_350; atMs += 600) {
      renewed =
          renewed.withStoreResponse(
              new DutyAnswered(atMs, atMs - 10, 0, 5, true), atMs, UNFENCED, false);
    }

    assertThat(duty.maySendOrders(200)).isFalse();
    assertThat(renewed.maySendOrders(3_290)).isFalse();
    assertThat(renewed.maySendOrders(3_310)).isTrue();
  }

  /** Guards against seconds without placement after all instances have failed at once. */
  @Test
  void sendsOrdersAtOnceAfterARestartIfEnginesCheckFencingNumbers() {
    Duty duty =
        Duty.NONE.withStoreResponse(new DutyAnswered(100, 90, 0, 5, true), 100, FENCED, false);

    assertThat(duty.maySendOrders(110)).isTrue();
  }

  /** Guards against waiting for a previous holder that would have sent a digest by now. */
  @Test
  void sendsOrdersAtOnceIfNoHolderReportedForALease() {
    Duty duty =
        Duty.NONE.withStoreResponse(
            new DutyAnswered(9_000, 8_990, 0, 5, true), 9_000, UNFENCED, false);

    assertThat(duty.maySendOrders(9_010)).isTrue();
  }

  /**
   * Guards against counting the lease from the store's response rather than from the last report of
   * the previous holder, which makes the pause of placement longer.
   */
  @Test
  void countsTheLeaseFromTheLastReportOfThePreviousHolder() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER, 10_000)
            .withStoreResponse(new DutyAnswered(12_500, 12_490, 0, 5, true), 12_500, FENCED, false);
    Duty renewed =
        duty.withStoreResponse(new DutyAnswered(13_250, 13_240, 0, 5, true), 13_250, FENCED, false);

    assertThat(renewed.maySendOrders(13_290)).isFalse();
    assertThat(renewed.maySendOrders(13_310)).isTrue();
  }

  /** Guards against orders while a third instance may have held the duty in between. */
  @Test
  void waitsForAFullLeaseIfGenerationsAreMissing() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER, 1_000)
            .withStoreResponse(new DutyAnswered(10_000, 9_990, 0, 9, true), 10_000, FENCED, false);

    assertThat(duty.maySendOrders(10_100)).isFalse();
  }

  /** Guards against waiting for a holder that has shut down. */
  @Test
  void sendsOrdersAtOnceAfterTheHolderHasLeft() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER, 10_000)
            .withOtherHolderStopped(FIRST_FENCING_NUMBER, 10_050)
            .withStoreResponse(new DutyAnswered(10_100, 10_090, 0, 5, true), 10_100, FENCED, false);

    assertThat(duty.maySendOrders(10_100)).isTrue();
  }

  /** Guards against a pause of placement after a holder that has failed. */
  @Test
  void sendsOrdersAtOnceAfterASilentHolder() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER, 10_000)
            .withStoreResponse(new DutyAnswered(12_500, 12_490, 0, 5, true), 12_500, FENCED, true);

    assertThat(duty.maySendOrders(12_510)).isTrue();
  }

  /** Guards against orders from a holder that has lost contact with the store. */
  @Test
  void stopsOrdersBeforeTheStoreMayGrantTheDutyAgain() {
    Duty duty =
        Duty.NONE.withStoreResponse(
            new DutyAnswered(10_000, 9_990, 0, 5, true), 10_000, FENCED, false);

    assertThat(duty.maySendOrders(9_990 + Duty.TTL_MS)).isFalse();
  }

  /** Guards against applying a late response with an older generation. */
  @Test
  void ignoresAnOlderGeneration() {
    Duty duty =
        Duty.NONE.withStoreResponse(
            new DutyAnswered(10_000, 9_990, 0, 5, false), 10_000, FENCED, false);

    assertThat(
            duty.withStoreResponse(
                new DutyAnswered(10_100, 10_090, 0, 4, true), 10_100, FENCED, false))
        .isEqualTo(duty);
  }

  /**
   * Guards against orders with a fencing number below one that engines have seen: the duty was
   * handed over while the store was unreachable, and the store then grants the old generation
   * again.
   */
  @Test
  void exceedsTheFencingNumbersOfAHandover() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER + 2, 10_000)
            .withStoreResponse(new DutyAnswered(12_500, 12_490, 0, 4, true), 12_500, FENCED, true);
    Duty renewed =
        duty.withStoreResponse(new DutyAnswered(12_900, 12_890, 0, 4, true), 12_900, FENCED, true);

    assertThat(duty.fencingNumber()).isEqualTo(FIRST_FENCING_NUMBER + 3);
    assertThat(renewed.fencingNumber()).isEqualTo(FIRST_FENCING_NUMBER + 3);
  }

  /**
   * Guards against waiting for a previous holder that reports that it has stopped, after the duty
   * was granted again.
   */
  @Test
  void sendsOrdersAsSoonAsThePreviousHolderReportsThatItStopped() {
    Duty waiting =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER, 10_000)
            .withStoreResponse(new DutyAnswered(10_600, 10_590, 0, 5, true), 10_600, FENCED, false);

    assertThat(waiting.maySendOrders(10_900)).isFalse();
    assertThat(waiting.withPeerNotHolding(PEER, 10_900).maySendOrders(10_910)).isTrue();
  }

  /** Guards against orders that engines refuse because generations are given out again. */
  @Test
  void aLaterEraHasHigherFencingNumbersThanAnyGenerationBefore() {
    Duty before =
        Duty.NONE.withStoreResponse(new DutyAnswered(100, 90, 0, 900, true), 100, FENCED, false);

    Duty after =
        before
            .inEra(1, 200, FENCED)
            .withStoreResponse(new DutyAnswered(300, 290, 1, 2, true), 300, FENCED, false);

    assertThat(after.fencingNumber()).isGreaterThan(before.fencingNumber());
    assertThat(new DutyTerm(1, 0).fencingNumber(0))
        .isGreaterThan(new DutyTerm(0, DutyTerm.MAX_GENERATION).fencingNumber(63));
  }

  /** Guards against fencing numbers that JSON rounds. */
  @Test
  void theHighestFencingNumberIsExactInJson() {
    long highest = new DutyTerm(DutyTerm.MAX_ERA, DutyTerm.MAX_GENERATION).fencingNumber(63);

    assertThat(highest).isEqualTo((1L << 53) - 1);
    assertThat(DutyTerm.of(highest))
        .isEqualTo(new DutyTerm(DutyTerm.MAX_ERA, DutyTerm.MAX_GENERATION));
  }

  /**
   * Guards against two holders at a time: the restored store grants the duty without waiting for
   * the end of a grant that it has lost, and its holder is silent because it is cut off.
   */
  @Test
  void waitsForAFullLeaseAfterAHolderOfAnEarlierEra() {
    Duty duty =
        Duty.NONE
            .withHolderReport(PEER, FIRST_FENCING_NUMBER, 10_000)
            .inEra(1, 12_000, FENCED)
            .withStoreResponse(new DutyAnswered(12_100, 12_090, 1, 4, true), 12_100, FENCED, true);

    assertThat(duty.held()).isTrue();
    assertThat(duty.maySendOrders(12_150)).isFalse();
    assertThat(duty.withPeerNotHolding(PEER, 12_200).maySendOrders(12_210)).isTrue();
  }

  /** Guards against two holders at engines that do not check fencing numbers. */
  @Test
  void waitsForALeaseAfterAChangeOfEraIfEnginesDoNotCheckFencingNumbers() {
    Duty renewed =
        Duty.NONE
            .inEra(1, 20_000, UNFENCED)
            .withStoreResponse(
                new DutyAnswered(20_100, 20_090, 1, 4, true), 20_100, UNFENCED, false)
            .withStoreResponse(
                new DutyAnswered(23_200, 23_190, 1, 4, true), 23_200, UNFENCED, false);

    assertThat(renewed.maySendOrders(23_250)).isFalse();
    assertThat(renewed.maySendOrders(23_310)).isTrue();
  }

  /** Guards against a duty that is held on the word of a store that no longer exists. */
  @Test
  void ignoresALateAnswerOfAnEarlierEra() {
    Duty duty = Duty.NONE.inEra(2, 10_000, FENCED);

    assertThat(
            duty.withStoreResponse(
                new DutyAnswered(10_100, 10_090, 1, 900, true), 10_100, FENCED, false))
        .isEqualTo(duty);
  }

  /** Guards against a holder that resumes orders while its successor sends them. */
  @Test
  void sendsNoOrdersBesideAHolderWithAHigherFencingNumber() {
    Duty duty =
        Duty.NONE
            .withStoreResponse(new DutyAnswered(10_000, 9_990, 0, 4, true), 10_000, FENCED, false)
            .withHolderReport(PEER, FIRST_FENCING_NUMBER + 64, 10_500);

    assertThat(duty.maySendOrders(10_600)).isFalse();
    assertThat(duty.mayContinueWithoutStore(20_000)).isFalse();
  }

  /**
   * Guards against a holder that starts anew after each late answer of a slow store, which stopped
   * placement for as long as the store was slow.
   */
  @Test
  void aLateAnswerInTheSameGenerationRenewsTheDuty() {
    Duty held =
        Duty.NONE.withStoreResponse(
            new DutyAnswered(5_000, 4_990, 0, 5, true), 5_000, FENCED, false);

    Duty renewed =
        held.withStoreResponse(new DutyAnswered(6_900, 6_400, 0, 5, true), 6_900, FENCED, false);
    Duty granted =
        held.withStoreResponse(new DutyAnswered(6_900, 6_400, 0, 6, true), 6_900, FENCED, false);

    assertThat(held.maySendOrders(6_800)).isFalse();
    assertThat(renewed.heldSinceMs()).isEqualTo(held.heldSinceMs());
    assertThat(renewed.maySendOrders(6_900)).isTrue();
    assertThat(granted.heldSinceMs()).isEqualTo(6_900);
  }
}
