package org.limpetdoor.core.gateway.sharing;

/**
 * A sum whose terms lose weight exponentially with time. Divided by its time constant, it is the
 * exponential moving average of a rate.
 *
 * @param value weighted sum at the time of the last change
 * @param atMs time of the last change, in monotonic milliseconds
 */
public record DecayingSum(double value, long atMs) {
  /** No terms. */
  public static final DecayingSum ZERO = new DecayingSum(0, 0);

  /**
   * Time constant, in milliseconds. It is shorter than a burst of an account, and so long that the
   * rate of an account with one call a second at this instance varies little: with 2 s, accounts
   * below their part often ranked behind one with a burst.
   */
  public static final double PERIOD_MS = 4_000;

  private static final double MS_PER_S = 1_000;

  /** Returns the weighted sum at a time. */
  public double at(long nowMs) {
    return value == 0 ? 0 : value * Math.exp(-Math.max(0, nowMs - atMs) / PERIOD_MS);
  }

  /** Returns the average rate per second at a time. */
  public double perS(long nowMs) {
    return at(nowMs) * MS_PER_S / PERIOD_MS;
  }

  DecayingSum plus(double amount, long nowMs) {
    return new DecayingSum(at(nowMs) + amount, nowMs);
  }
}
