package org.limpetdoor.core.limits;

import org.limpetdoor.core.gateway.account.Allowance;

/**
 * Use of one account as known to this instance, and its estimate of the token bucket that the
 * account has over all instances.
 *
 * @param allowance what the account may use
 * @param own use by this instance, as exponential moving averages
 * @param peers use by the other instances, from their last digests
 * @param smoothedPerS cost per second that the other instances offered, averaged once more
 * @param level content of the bucket, which is negative after excess use
 * @param drainFromMs time from which the use by the others drains the level, in monotonic
 *     milliseconds
 * @param asOfMs time as of which averages and level are known, in monotonic milliseconds
 */
public record AccountMeter(
    Allowance allowance,
    AccountRates own,
    AccountRates peers,
    double smoothedPerS,
    double level,
    long drainFromMs,
    long asOfMs) {
  /**
   * Time constant of the averages, in seconds. With 1 s, a burst of 7.5 times the usual use exceeds
   * the bound by 10% in the tests of a fleet of 62, because it is known too late.
   */
  static final double TIME_CONSTANT_S = 0.5;

  /** Part of the burst that the level may reach. The rest is for admissions not yet reported. */
  private static final double LEVEL_SHARE = 0.5;

  /** Part of the rate from which an instance reports its use. Less has no effect on decisions. */
  private static final double REPORTED_PART = 1e-4;

  /** Time after which all reports were made under the present allowance, in milliseconds. */
  private static final long REPORT_DELAY_MS = 2_000;

  private static final double MS_PER_S = 1_000;

  /** Returns the meter of an account without use. The level of a started process begins at 0. */
  static AccountMeter started(Allowance allowance, long nowMs) {
    return new AccountMeter(allowance, AccountRates.NONE, AccountRates.NONE, 0, 0, nowMs, nowMs);
  }

  /**
   * Returns the meter at a later time.
   *
   * @param coverage part of the instances whose use is known since the last time, from 0 to 1
   */
  AccountMeter at(long nowMs, double coverage) {
    double elapsedS = Math.max(0, nowMs - asOfMs) / MS_PER_S;
    double drainedS = Math.max(0, nowMs - Math.max(asOfMs, drainFromMs)) / MS_PER_S;
    double refilled =
        level + allowance.ratePerS() * coverage * elapsedS - peers.admittedPerS() * drainedS;
    double decay = Math.exp(-elapsedS / TIME_CONSTANT_S);
    return new AccountMeter(
        allowance,
        new AccountRates(own.offeredPerS() * decay, own.admittedPerS() * decay),
        peers,
        smoothedPerS + (peers.offeredPerS() - smoothedPerS) * (1 - decay),
        Math.min(refilled, maxLevel(coverage)),
        drainFromMs,
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

  /**
   * Returns how much the rate that the other instances offer has risen of late, per second. A rise
   * that has been reported in part goes on until the slowest report has arrived.
   */
  double risePerS() {
    return Math.max(0, peers.offeredPerS() - smoothedPerS);
  }

  AccountMeter withOffered(double cost) {
    return withOwn(own.plus(new AccountRates(cost / TIME_CONSTANT_S, 0)), level);
  }

  AccountMeter withAdmitted(double cost) {
    return withOwn(own.plus(new AccountRates(0, cost / TIME_CONSTANT_S)), level - cost);
  }

  /** Returns a copy without the cost of an admission; no more is returned than was taken. */
  AccountMeter withGivenBack(double cost) {
    return withOwn(own.minus(new AccountRates(0, cost / TIME_CONSTANT_S)), level + cost);
  }

  AccountMeter withPeers(AccountRates value) {
    return new AccountMeter(allowance, own, value, smoothedPerS, level, drainFromMs, asOfMs);
  }

  /**
   * Returns a copy with another allowance. What the others admitted under the previous one is not
   * owed, or an account whose limit was lowered to a tenth would get nothing for 10 s.
   */
  AccountMeter withAllowance(Allowance value, long nowMs) {
    boolean sameRate = value.ratePerS() == allowance.ratePerS();
    return new AccountMeter(
        value,
        own,
        peers,
        smoothedPerS,
        level,
        sameRate ? drainFromMs : nowMs + REPORT_DELAY_MS,
        asOfMs);
  }

  private AccountMeter withOwn(AccountRates value, double newLevel) {
    return new AccountMeter(allowance, value, peers, smoothedPerS, newLevel, drainFromMs, asOfMs);
  }

  private double maxLevel(double coverage) {
    return allowance.burst() * LEVEL_SHARE * coverage;
  }
}
