package org.limpetdoor.core.backend;

/**
 * Whether a back end seems to be leaving. It gets no new work until {@code untilMs}. After that,
 * single requests probe whether it serves again, and the first answer clears the status.
 *
 * @param lastSignMs time of the last refusal or announcement, in monotonic milliseconds
 * @param untilMs time until which no new work is sent, in monotonic milliseconds; 0 if the back end
 *     does not seem to be leaving
 * @param holdMs time without new work after the next refusal, in milliseconds
 */
public record Departure(long lastSignMs, long untilMs, long holdMs) {
  /**
   * Time without new work after the first refusal. A restart of an engine takes seconds; an earlier
   * probe would only delay the request.
   */
  private static final long FIRST_HOLD_MS = 5_000;

  /** Bounds the time for which a back end that serves again stays unused. */
  private static final long MAX_HOLD_MS = 40_000;

  /**
   * Time without new work after an announcement. Announcements are repeated as long as they apply.
   * The instance list lags by about ten seconds, so a shorter time could end between two reads of a
   * list that still shows the back end as leaving.
   */
  private static final long ANNOUNCED_HOLD_MS = 30_000;

  /** Status of a back end that does not seem to be leaving. */
  public static final Departure NONE = new Departure(0, 0, FIRST_HOLD_MS);

  /** Returns whether the back end gets no new work at the given time. */
  public boolean holdsAt(long nowMs) {
    return nowMs < untilMs;
  }

  /** Returns whether a refusal or announcement was received and no later request was answered. */
  public boolean pending() {
    return untilMs > 0;
  }

  /** Returns whether an answer to a request that was sent at the given time clears the status. */
  public boolean refutedBy(long sentAtMs) {
    return pending() && sentAtMs > lastSignMs;
  }

  /** Returns the status after the back end refused to start a request. */
  public Departure withRefusal(long nowMs) {
    return new Departure(nowMs, Math.max(untilMs, nowMs + holdMs), holdMs);
  }

  /**
   * Returns the status after the instance list, the back end or a peer announced that it is
   * leaving.
   */
  public Departure withAnnouncement(long nowMs) {
    return new Departure(nowMs, Math.max(untilMs, nowMs + ANNOUNCED_HOLD_MS), holdMs);
  }

  /**
   * Returns the status after a probe was sent. The time until the next probe doubles up to a bound.
   */
  public Departure withTrial(long nowMs) {
    long nextHoldMs = Math.min(MAX_HOLD_MS, 2 * holdMs);
    return new Departure(lastSignMs, nowMs + nextHoldMs, nextHoldMs);
  }
}
