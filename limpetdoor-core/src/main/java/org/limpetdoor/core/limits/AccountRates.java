package org.limpetdoor.core.limits;

/**
 * Use of an account by some instances, in the unit of its allowance.
 *
 * @param offeredPerS cost of the calls that arrived, per second
 * @param admittedPerS cost of the calls that were admitted, per second
 */
public record AccountRates(double offeredPerS, double admittedPerS) {
  /** No use. */
  public static final AccountRates NONE = new AccountRates(0, 0);

  /** Returns the use of two groups of instances that have none in common. */
  public AccountRates plus(AccountRates other) {
    return new AccountRates(offeredPerS + other.offeredPerS, admittedPerS + other.admittedPerS);
  }

  /**
   * Returns the use without that of some of the instances. It is at least 0, since sums of floating
   * point numbers do not cancel out exactly.
   */
  public AccountRates minus(AccountRates other) {
    return new AccountRates(
        Math.max(0, offeredPerS - other.offeredPerS),
        Math.max(0, admittedPerS - other.admittedPerS));
  }
}
