package org.limpetdoor.core.gateway.sharing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.gateway.sharing.FairOrder.Ranked;
import org.limpetdoor.core.gateway.sharing.WaitingRoom.Competitor;
import org.limpetdoor.core.gateway.sharing.WaitingRoom.Refusal;
import org.pcollections.HashTreePMap;

class SharingDecisionsTest {
  private static final long NOW_MS = 10_000;
  private static final Claims CLAIMS = new Claims(HashTreePMap.from(Map.of("a", 100.0)), 1_000);

  private static QueuedCall call(long id, String account, long work) {
    return new QueuedCall(id, account, false, 1, 10, work, NOW_MS);
  }

  private static List<Long> order(Map<String, Double> use, QueuedCall... calls) {
    return new FairOrder(
            account -> use.getOrDefault(account, 0.0), CLAIMS, ShareLedger.EMPTY, NOW_MS)
        .sort(List.of(calls)).stream().map(rank -> rank.call().id()).toList();
  }

  private static Competitor competitor(long id, boolean mayGiveWay) {
    return new Competitor(new Ranked(call(id, "b" + id, 10), 0, 0), 1, 1_000, mayGiveWay);
  }

  private static Optional<Refusal> refused(long newCall, Competitor... ordered) {
    PlaceForecast twoPerS = new PlaceForecast(2);
    return new WaitingRoom(twoPerS, FairLevel.UNBOUNDED).refused(List.of(ordered), newCall);
  }

  /** Guards against an order by absolute use, which puts large accounts behind small ones. */
  @Test
  void ordersAccountsByUseRelativeToTheirClaims() {
    assertThat(order(Map.of("a", 90.0, "b", 500.0), call(1, "a", 10), call(2, "b", 10)))
        .containsExactly(2L, 1L)
        .inOrder();
  }

  /** Guards against serving all waiting calls of one account before those of another. */
  @Test
  void alternatesBetweenAccountsOfEqualUse() {
    assertThat(order(Map.of(), call(1, "b", 10), call(2, "b", 10), call(3, "c", 10)))
        .containsExactly(1L, 3L, 2L)
        .inOrder();
  }

  /** Guards against short calls behind long ones that arrived at the same time. */
  @Test
  void putsShortCallsBeforeLongOnes() {
    assertThat(order(Map.of(), call(1, "b", 900), call(2, "b", 40)))
        .containsExactly(2L, 1L)
        .inOrder();
  }

  /** Guards against a call that is held although it can't be started in time. */
  @Test
  void refusesANewCallThatCannotBeStartedInTime() {
    Refusal refusal =
        refused(3, competitor(1, true), competitor(2, true), competitor(3, true)).orElseThrow();
    assertThat(refusal).isEqualTo(new Refusal(3, FailureCause.NO_PLACE_IN_TIME, 1_500));
  }

  /** Guards against a full waiting room that turns away accounts with a lower use. */
  @Test
  void makesTheLastCallGiveWay() {
    Refusal refusal =
        refused(1, competitor(1, true), competitor(2, true), competitor(3, true)).orElseThrow();
    assertThat(refusal).isEqualTo(new Refusal(3, FailureCause.GAVE_WAY, 1_500));
  }

  /** Guards against refusing a call that was sent before or has waited for long. */
  @Test
  void refusesNoCallThatMayNotGiveWay() {
    assertThat(refused(1, competitor(1, true), competitor(2, true), competitor(3, false)))
        .isEqualTo(Optional.empty());
  }

  /** Guards against refusals while it is not known when places come free. */
  @Test
  void refusesNothingWithoutAForecast() {
    PlaceForecast unknown = PlaceForecast.of(0, 12, 0, 5);
    assertThat(
            new WaitingRoom(unknown, FairLevel.UNBOUNDED)
                .refused(List.of(competitor(1, true), competitor(2, true)), 2))
        .isEqualTo(Optional.empty());
  }

  /** Guards against a time to return before a place comes free, or after the caller gives up. */
  @Test
  void statesATimeToReturnWithinItsBounds() {
    for (int i = 0; i < 50; i++) {
      assertThat(ReturnTime.afterMs(1_000, 9_000, "c" + i)).isAtLeast(1_000);
      assertThat(ReturnTime.afterMs(1_000, 9_000, "c" + i)).isAtMost(1_500);
      assertThat(ReturnTime.afterMs(9_000, 3_000, "c" + i)).isAtMost(1_000);
    }
  }

  /** Guards against a level that binds accounts while all calls are served. */
  @Test
  void bindsNoAccountWhileCapacityIsSufficient() {
    ShareLedger served = ShareLedger.EMPTY.withOffered("a", 10, NOW_MS).withSent("a", 10, NOW_MS);
    assertThat(FairLevel.of(served, CLAIMS, NOW_MS)).isPositiveInfinity();
    ShareLedger short1 = served.withOffered("b", 10, NOW_MS);
    assertThat(FairLevel.of(short1, CLAIMS, NOW_MS)).isLessThan(1.0);
  }

  /** Guards against callers that return in one wave. */
  @Test
  void spreadsEqualTimesToReturn() {
    assertThat(ReturnTime.afterMs(1_000, 9_000, "c1"))
        .isNotEqualTo(ReturnTime.afterMs(1_000, 9_000, "c2"));
  }

  /** Guards against an account that is hardly served at all. */
  @Test
  void putsAnAccountThatIsHardlyServedFirst() {
    ShareLedger ledger = ShareLedger.EMPTY.withSent("b", 10, NOW_MS).withRefused("a", NOW_MS);
    FairOrder order =
        new FairOrder(account -> account.equals("a") ? 90 : 0, CLAIMS, ledger, NOW_MS);
    assertThat(order.sort(List.of(call(1, "b", 10), call(2, "a", 10))).get(0).call().id())
        .isEqualTo(2);
  }
}
