package org.limpetdoor.core.gateway;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against an account whose burst takes the capacity of the others. */
class CapacitySharingTest {
  private static final int SEEDS = 12;

  /** Sums over runs with different seeds, since small accounts send few calls in one burst. */
  private static final class Totals {
    private final int[] offered = new int[OverloadSimulation.ACCOUNTS];
    private final int[] served = new int[OverloadSimulation.ACCOUNTS];
    private final List<Long> heldMs = new ArrayList<>();
    private final List<Long> returnsMs = new ArrayList<>();

    Totals(int burstAccount, boolean loss) {
      for (int seed = 1; seed <= SEEDS; seed++) {
        OverloadSimulation run = new OverloadSimulation(seed, burstAccount, loss).run();
        for (int i = 0; i < OverloadSimulation.ACCOUNTS; i++) {
          offered[i] += run.offered[i];
          served[i] += run.served[i];
        }
        heldMs.addAll(run.heldMs);
        returnsMs.addAll(run.returnsMs);
      }
    }

    double share(int account) {
      return (double) served[account] / offered[account];
    }

    double shareOfAll() {
      return (double) IntStream.of(served).sum() / IntStream.of(offered).sum();
    }
  }

  @ParameterizedTest
  @CsvSource({"5, false", "12, false", "12, true"})
  void keepsWhatOtherAccountsGetDuringABurst(int burstAccount, boolean loss) {
    checkOthers(burstAccount, loss);
  }

  @Tag("known-red")
  @ParameterizedTest
  @CsvSource({"0, false", "0, true", "5, true"})
  void keepsWhatOtherAccountsGetDuringALargeBurst(int burstAccount, boolean loss) {
    checkOthers(burstAccount, loss);
  }

  private static void checkOthers(int burstAccount, boolean loss) {
    Totals calm = new Totals(-1, loss);
    Totals burst = new Totals(burstAccount, loss);
    for (int i = 0; i < OverloadSimulation.ACCOUNTS; i++) {
      if (i != burstAccount) {
        assertWithMessage("calls of account %s that are served", i)
            .that((double) burst.served[i])
            .isAtLeast(0.9 * calm.served[i]);
      }
    }
  }

  /** Guards against an account that is hardly served at all, whichever sends the burst. */
  @ParameterizedTest
  @CsvSource({"0, false", "0, true", "5, false", "5, true", "12, false", "12, true"})
  void servesEachAccountAQuarterAsOftenAsAll(int burstAccount, boolean loss) {
    Totals burst = new Totals(burstAccount, loss);
    for (int i = 0; i < OverloadSimulation.ACCOUNTS; i++) {
      assertWithMessage("share of account %s", i)
          .that(burst.share(i))
          .isAtLeast(0.25 * burst.shareOfAll());
    }
  }

  /** Guards against calls that are held for long and then refused. */
  @Test
  void refusesMostCallsWithoutHoldingThem() {
    Totals burst = new Totals(0, false);
    long held = burst.heldMs.stream().filter(ms -> ms > 50).count();
    assertWithMessage("calls held of %s refused", burst.heldMs.size())
        .that(held)
        .isAtMost(burst.heldMs.size() / 3);
  }

  /** Guards against callers that return in one wave. */
  @Test
  void spreadsTheTimesToReturn() {
    Totals burst = new Totals(0, false);
    assertWithMessage("different times to return")
        .that(new HashSet<>(burst.returnsMs).size())
        .isAtLeast(200);
  }
}
