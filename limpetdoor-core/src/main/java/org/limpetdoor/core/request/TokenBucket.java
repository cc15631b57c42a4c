package org.limpetdoor.core.request;

/**
 * Token bucket rate limiter: refills at a constant rate up to its burst size.
 *
 * @param available amount that may be taken now; negative after an amount above the burst size
 * @param refilledAtMs time of the last refill, in monotonic milliseconds
 */
record TokenBucket(double available, long refilledAtMs) {
  private static final double MS_PER_SECOND = 1000.0;

  /** Returns a full bucket. */
  static TokenBucket full(double burst, long nowMs) {
    return new TokenBucket(burst, nowMs);
  }

  /** Returns the bucket refilled up to the given time. */
  TokenBucket refill(double ratePerSecond, double burst, long nowMs) {
    double gained = ratePerSecond * (nowMs - refilledAtMs) / MS_PER_SECOND;
    return new TokenBucket(Math.min(burst, available + gained), nowMs);
  }

  /**
   * Returns whether an amount can be taken. An amount above the burst size needs a full bucket
   * only.
   */
  boolean canTake(double amount, double burst) {
    return available >= Math.min(amount, burst);
  }

  /**
   * Returns the bucket after taking an amount; it may go below zero when the amount is above the
   * burst size.
   */
  TokenBucket take(double amount) {
    return new TokenBucket(available - amount, refilledAtMs);
  }

  /** Returns how long it takes until an amount can be taken, in milliseconds. */
  long waitMs(double amount, double ratePerSecond, double burst) {
    double missing = Math.min(amount, burst) - available;
    return missing <= 0 ? 0 : (long) Math.ceil(missing / ratePerSecond * MS_PER_SECOND);
  }
}
