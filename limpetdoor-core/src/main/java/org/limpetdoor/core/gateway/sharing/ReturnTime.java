package org.limpetdoor.core.gateway.sharing;

import org.limpetdoor.core.request.Rendezvous;

/**
 * Decides when a caller that finds no place should return. It answers the load at which many calls
 * are refused at once: with the same time for all, their callers would return in one wave.
 */
public final class ReturnTime {
  /** Part of the remaining time for which callers are willing to stay away. */
  private static final int MAX_RETURN_DIVISOR = 3;

  /** Width over which returns are spread, as a part of the time at which a place comes free. */
  private static final double SPREAD = 0.5;

  /** Shortest time at which spread returns differ by more than the delay of a connection. */
  private static final long MIN_RETURN_MS = 200;

  private static final double TWO_TO_53 = 0x1p53;

  private ReturnTime() {}

  /**
   * Returns the time after which a caller should return, in milliseconds: between the time at which
   * a place comes free and half as much again, but no later than the caller is willing to stay
   * away.
   *
   * @param startsInMs time until a place comes free, in milliseconds
   * @param timeLeftMs time until the deadline of the call, in milliseconds
   * @param callerAttemptId identifier of the call, which determines its part of the spread
   */
  public static long afterMs(long startsInMs, long timeLeftMs, String callerAttemptId) {
    double longestMs = Math.max(1, timeLeftMs / MAX_RETURN_DIVISOR);
    double wantedMs = Math.max(MIN_RETURN_MS, startsInMs);
    double latestMs = Math.min(longestMs, wantedMs * (1 + SPREAD));
    double earliestMs = latestMs / (1 + SPREAD);
    double part = (Rendezvous.hash(callerAttemptId) >>> 11) / TWO_TO_53;
    return Math.max(1, (long) Math.ceil(earliestMs + part * (latestMs - earliestMs)));
  }
}
