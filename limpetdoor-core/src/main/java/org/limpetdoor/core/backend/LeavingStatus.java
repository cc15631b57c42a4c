package org.limpetdoor.core.backend;

/**
 * Whether a back end seems to be leaving. It gets no new work until {@code blockedUntilMs}. After
 * that, single requests probe whether it serves again, and the first response clears the status.
 *
 * @param lastEvidenceAtMs time of the last refusal or announcement, in monotonic milliseconds
 * @param blockedUntilMs time until which no new work is sent, in monotonic milliseconds; 0 if the
 *     back end does not seem to be leaving
 * @param backoffMs time without new work after the next refusal, in milliseconds
 */
public record LeavingStatus(long lastEvidenceAtMs, long blockedUntilMs, long backoffMs) {
  /**
   * Time without new work after the first refusal. A restart of an engine takes seconds; an earlier
   * probe would only delay the request.
   */
  private static final long INITIAL_BACKOFF_MS = 5_000;

  /** Bounds the time for which a back end that serves again stays unused. */
  private static final long MAX_BACKOFF_MS = 40_000;

  /**
   * Time without new work after an announcement. Announcements are repeated as long as they apply.
   * The instance list lags by about ten seconds, so a shorter time could end between two reads of a
   * list that still shows the back end as leaving.
   */
  private static final long ANNOUNCEMENT_BLOCK_MS = 30_000;

  /** Status of a back end that does not seem to be leaving. */
  public static final LeavingStatus NONE = new LeavingStatus(0, 0, INITIAL_BACKOFF_MS);

  /** Returns whether the back end gets no new work at the given time. */
  public boolean blocksNewWorkAt(long nowMs) {
    return nowMs < blockedUntilMs;
  }

  /** Returns whether a refusal or announcement was received and no later request was answered. */
  public boolean isLeaving() {
    return blockedUntilMs > 0;
  }

  /** Returns whether a response to a request that was sent at the given time clears the status. */
  public boolean isClearedByAnswerTo(long sentAtMs) {
    return isLeaving() && sentAtMs > lastEvidenceAtMs;
  }

  /** Returns the status after the back end refused to start a request. */
  public LeavingStatus withRefusal(long nowMs) {
    return new LeavingStatus(nowMs, Math.max(blockedUntilMs, nowMs + backoffMs), backoffMs);
  }

  /**
   * Returns the status after the instance list, the back end or a peer announced that it is
   * leaving.
   */
  public LeavingStatus withAnnouncement(long nowMs) {
    return new LeavingStatus(
        nowMs, Math.max(blockedUntilMs, nowMs + ANNOUNCEMENT_BLOCK_MS), backoffMs);
  }

  /**
   * Returns the status after a probe was sent. The time until the next probe doubles up to a bound.
   */
  public LeavingStatus withProbe(long nowMs) {
    long nextBackoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    return new LeavingStatus(lastEvidenceAtMs, nowMs + nextBackoffMs, nextBackoffMs);
  }
}
