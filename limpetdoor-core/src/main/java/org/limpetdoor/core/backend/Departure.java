package org.limpetdoor.core.backend;

/**
 * Signs that a back end is leaving. While they hold it gets no new work. Afterwards single requests
 * try whether it serves again, and the first answer ends the departure.
 *
 * @param lastSignMs time of the last sign, in monotonic milliseconds
 * @param untilMs time until which no new work is sent, in monotonic milliseconds; 0 without a sign
 * @param holdMs time without new work after a refusal, in milliseconds
 */
public record Departure(long lastSignMs, long untilMs, long holdMs) {
  /**
   * A restart of an engine takes seconds; an earlier trial would only cost the request a detour.
   */
  private static final long FIRST_HOLD_MS = 5_000;

  /** Bounds how long a back end that serves again stays unused. */
  private static final long MAX_HOLD_MS = 40_000;

  /**
   * Signs of others are repeated while they hold. The instance list lags by about ten seconds, so a
   * shorter time could end between two readings of a list that still has the back end as leaving.
   */
  private static final long ANNOUNCED_HOLD_MS = 30_000;

  /** No sign. */
  public static final Departure NONE = new Departure(0, 0, FIRST_HOLD_MS);

  /** Returns whether the back end gets no new work. */
  public boolean holdsAt(long nowMs) {
    return nowMs < untilMs;
  }

  /** Returns whether a sign was seen that no answer has refuted. */
  public boolean pending() {
    return untilMs > 0;
  }

  /** Returns whether the answer to a request that was sent at the given time refutes the signs. */
  public boolean refutedBy(long sentAtMs) {
    return pending() && sentAtMs > lastSignMs;
  }

  /** Returns the departure after the back end refused to start a request. */
  public Departure withRefusal(long nowMs) {
    return new Departure(nowMs, Math.max(untilMs, nowMs + holdMs), holdMs);
  }

  /** Returns the departure after the instance list, the back end or a peer announced it. */
  public Departure withAnnouncement(long nowMs) {
    return new Departure(nowMs, Math.max(untilMs, nowMs + ANNOUNCED_HOLD_MS), holdMs);
  }

  /** Returns the departure after a trial was sent; the next one follows after a longer time. */
  public Departure withTrial(long nowMs) {
    long nextHoldMs = Math.min(MAX_HOLD_MS, 2 * holdMs);
    return new Departure(lastSignMs, nowMs + nextHoldMs, nextHoldMs);
  }
}
