package org.limpetdoor.core.gateway.account;

import java.util.OptionalLong;

/**
 * What an account may use over all instances together.
 *
 * @param ratePerS units per second; 0 means no limit
 * @param burst units that may be used at once beyond the rate, at least 0
 * @param unit unit of both
 * @param defaultTokens cost of a request that states no tokens, if tokens are counted
 */
public record Allowance(double ratePerS, double burst, AllowanceUnit unit, double defaultTokens) {
  /** No limit. */
  public static final Allowance UNLIMITED = new Allowance(0, 0, AllowanceUnit.REQUESTS, 0);

  /**
   * Checks ranges.
   *
   * @throws IllegalArgumentException if a number is negative or not finite
   */
  public Allowance {
    requireAmount("ratePerS", ratePerS);
    requireAmount("burst", burst);
    requireAmount("defaultTokens", defaultTokens);
  }

  private static void requireAmount(String name, double value) {
    if (!(value >= 0 && value < Double.POSITIVE_INFINITY)) {
      throw new IllegalArgumentException(name + " must be a number of at least 0, not " + value);
    }
  }

  /** Returns whether use is limited at all. */
  public boolean limited() {
    return ratePerS > 0;
  }

  /** Returns the cost of a request, in the unit of this allowance. */
  public double cost(OptionalLong statedTokens) {
    return unit.cost(statedTokens, defaultTokens);
  }
}
