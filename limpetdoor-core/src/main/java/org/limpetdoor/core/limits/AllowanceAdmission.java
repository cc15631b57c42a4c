package org.limpetdoor.core.limits;

/**
 * Decides whether a call is within the allowance that its account has over all instances. It
 * answers the load at which an account asks for several times its allowance through all instances
 * at once, of which each sees a small part: all instances admit the same part of the calls, so that
 * it does not matter which of them the load balancer prefers.
 *
 * @param meter use of the account, which includes the call as offered
 * @param coverage part of the instances whose use is known, from 0 to 1
 */
record AllowanceAdmission(AccountMeter meter, double coverage) {
  /** Time within which the content of the bucket is spread over the calls that arrive. */
  private static final double LEVEL_SPREAD_S = 1;

  /** Largest multiple of a rise that is added to what was reported. */
  private static final double MAX_LEAD = 3;

  /**
   * Calls per second within the allowance at which a rise is added once. With half of it, accounts
   * with 7 calls per second are refused calls although they stay within their allowance.
   */
  private static final double CALLS_PER_S_PER_LEAD = 15;

  private static final double MS_PER_S = 1_000;

  /** Shortest time after which a refused caller may return, in milliseconds. */
  private static final long MIN_RETRY_AFTER_MS = 1_000;

  /** Longest time after which a refused caller may return, in milliseconds. */
  private static final long MAX_RETRY_AFTER_MS = 30_000;

  /**
   * Decides about a call.
   *
   * @param draw number that is spread evenly over calls, from 0 to 1
   * @param cost cost of the call
   */
  AllowanceVerdict decide(double draw, double cost) {
    double part = admittedPart(cost);
    AllowanceReason reason = reason(part, draw);
    return new AllowanceVerdict(
        reason, part, coverage, reason.admits() ? 0 : retryAfterMs(draw, cost));
  }

  private AllowanceReason reason(double part, double draw) {
    if (part >= 1) {
      return AllowanceReason.WITHIN;
    }
    if (draw < part) {
      return AllowanceReason.SHARE;
    }
    if (meter.peers().offeredPerS() <= 0 && meter.level() > 0) {
      return AllowanceReason.SOLE_USER;
    }
    return part <= 0 ? AllowanceReason.IN_DEBT : AllowanceReason.OVER_RATE;
  }

  private double admittedPart(double cost) {
    double available = ratePerS() + meter.level() / LEVEL_SPREAD_S;
    return Math.max(0, Math.min(1, available / expectedPerS(cost)));
  }

  /**
   * Returns the cost per second that the fleet probably offers now. Reports arrive 0.25 to 1.5 s
   * late and show a burst piece by piece, so a rise is taken to go on. For an account with few
   * calls a rise is mostly chance, and counts less.
   */
  private double expectedPerS(double cost) {
    double callsPerS = meter.allowance().ratePerS() / cost;
    double lead = Math.min(MAX_LEAD, callsPerS / CALLS_PER_S_PER_LEAD);
    return meter.fleet().offeredPerS() + lead * meter.risePerS();
  }

  private double ratePerS() {
    return meter.allowance().ratePerS() * coverage;
  }

  /**
   * Returns the time until the bucket will contain the cost of the call, spread over as long again,
   * so that callers that were refused together do not return together.
   */
  private long retryAfterMs(double draw, double cost) {
    double missing = cost - Math.min(0, meter.level());
    double refillMs = MS_PER_S * missing / ratePerS();
    double boundedMs = Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, refillMs));
    return Math.round(boundedMs * (1 + draw));
  }
}
