package org.limpetdoor.core.limits;

import org.limpetdoor.core.gateway.account.Allowance;

/**
 * Use of one account as known to this instance, and its estimate of the token bucket that the
 * account has over all instances.
 *
 * @param allowance what the account may use
 * @param own use by this instance, as exponential moving averages
 * @param peers use by the other instances, from their last digests
 * @param level content of the bucket, which is negative after excess use
 * @param asOfMs time as of which averages and level are known, in monotonic milliseconds
 */
public record AccountMeter(
    Allowance allowance, AccountRates own, AccountRates peers, double level, long asOfMs) {
  /**
   * Time constant of the averages, in seconds. Shorter ones show a burst sooner; longer ones show
   * less of the chance in the arrivals of an account with few calls.
   */
  static final double TIME_CONSTANT_S = 1;

  /** Part of the burst that the level may reach. The rest is for admissions not yet reported. */
  private static final double LEVEL_SHARE = 0.5;

  /** Part of the rate from which an instance reports its use. Less has no effect on decisions. */
  private static final double REPORTED_PART = 1e-4;

  private static final double MS_PER_S = 1_000;

  /** Returns the meter of an account without use. The level of a started process begins at 0. */
  static AccountMeter started(Allowance allowance, long nowMs) {
    return new AccountMeter(allowance, AccountRates.NONE, AccountRates.NONE, 0, nowMs);
  }

  /**
   * Returns the meter at a later time.
   *
   * @param coverage part of the instances whose use is known since the last time, from 0 to 1
   */
  AccountMeter at(long nowMs, double coverage) {
    double elapsedS = Math.max(0, nowMs - asOfMs) / MS_PER_S;
    double refilled = level + (allowance.ratePerS() * coverage - peers.admittedPerS()) * elapsedS;
    double decay = Math.exp(-elapsedS / TIME_CONSTANT_S);
    return new AccountMeter(
        allowance,
        new AccountRates(own.offeredPerS() * decay, own.admittedPerS() * decay),
        peers,
        Math.min(refilled, maxLevel(coverage)),
        Math.max(nowMs, asOfMs));
  }

  /** Returns the use by all instances that is known. */
  AccountRates fleet() {
    return own.plus(peers);
  }

  /** Returns whether the use by this instance is worth a report. */
  boolean isInUse() {
    return own.offeredPerS() > allowance.ratePerS() * REPORTED_PART;
  }

  AccountMeter withOffered(double cost) {
    return withOwn(own.plus(new AccountRates(cost / TIME_CONSTANT_S, 0)), level);
  }

  AccountMeter withAdmitted(double cost) {
    return withOwn(own.plus(new AccountRates(0, cost / TIME_CONSTANT_S)), level - cost);
  }

  AccountMeter withPeers(AccountRates value) {
    return new AccountMeter(allowance, own, value, level, asOfMs);
  }

  AccountMeter withAllowance(Allowance value) {
    return new AccountMeter(value, own, peers, level, asOfMs);
  }

  private AccountMeter withOwn(AccountRates value, double newLevel) {
    return new AccountMeter(allowance, value, peers, newLevel, asOfMs);
  }

  private double maxLevel(double coverage) {
    return allowance.burst() * LEVEL_SHARE * coverage;
  }
}
