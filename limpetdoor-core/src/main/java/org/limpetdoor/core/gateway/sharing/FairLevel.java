package org.limpetdoor.core.gateway.sharing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Computes the use relative to the claim up to which accounts are served while capacity is
 * insufficient: weighted max-min fairness by progressive filling (Bertsekas and Gallager, "Data
 * Networks", 1992). Accounts that ask for less get all they ask for, and the rest is divided among
 * the others by their claims. It answers the load at which calls of an account above its part would
 * wait, only to be overtaken by later calls of accounts below theirs.
 */
final class FairLevel {
  /** Level while capacity is sufficient: no account has a part that it may not exceed. */
  static final double UNBOUNDED = Double.POSITIVE_INFINITY;

  /**
   * Calls that arrive per call that is sent, below which capacity counts as sufficient. Without a
   * shortage, some calls wait for a moment, too.
   */
  private static final double MIN_EXCESS = 1.05;

  private FairLevel() {}

  /**
   * Demand of an account.
   *
   * @param callsPerS calls that the account offers, per second
   * @param callsPerLevel calls per second to which a use that equals its claim amounts
   */
  private record Demand(double callsPerS, double callsPerLevel) {
    double level() {
      return callsPerS / callsPerLevel;
    }
  }

  /** Returns the level; infinite if nearly all calls were sent recently. */
  static double of(ShareLedger ledger, Claims claims, long nowMs) {
    double left = ledger.total().sent().perS(nowMs);
    if (ledger.total().offered().perS(nowMs) < left * MIN_EXCESS) {
      return UNBOUNDED;
    }
    List<Demand> demands = new ArrayList<>();
    double callsPerLevel = 0;
    for (Map.Entry<String, AccountShare> entry : ledger.accounts().entrySet()) {
      double meanCost = entry.getValue().meanCost(nowMs);
      if (meanCost > 0) {
        double perLevel = claims.of(entry.getKey()) / meanCost;
        demands.add(new Demand(entry.getValue().offered().perS(nowMs), perLevel));
        callsPerLevel += perLevel;
      }
    }
    demands.sort(Comparator.comparingDouble(Demand::level));
    for (Demand demand : demands) {
      if (demand.level() * callsPerLevel > left) {
        return left / callsPerLevel;
      }
      left -= demand.callsPerS();
      callsPerLevel -= demand.callsPerLevel();
    }
    return UNBOUNDED;
  }
}
