package org.limpetdoor.core.backend;

/**
 * Evidence that the requests with one fingerprint crash engines.
 *
 * @param score sum of the fractions of crashes attributed to the fingerprint, at the time of the
 *     last change; it halves every 5 minutes
 * @param crashes number of crashes of engines on which such a request was in flight
 * @param changedAtMs time of the last change, in monotonic milliseconds
 * @param bannedUntilMs time until which such requests are refused, in monotonic milliseconds
 */
record CrashSuspect(double score, int crashes, long changedAtMs, long bannedUntilMs) {
  static final CrashSuspect NONE = new CrashSuspect(0, 0, 0, 0);

  /** Score of a suspect. A single crash reaches it if at most two requests were in flight. */
  private static final double SUSPECT_SCORE = 0.5;

  /**
   * Number of crashes that makes a request a suspect whatever its score. On a full engine each
   * crash adds far less than the score limit, but few requests are involved in two crashes by
   * chance.
   */
  private static final int SUSPECT_CRASHES = 2;

  private static final double HALF_LIFE_MS = 300_000;

  /** Two half-lives, after which the score of one crash is below the limit. */
  private static final long RETENTION_MS = 600_000;

  private static final long BAN_MS = 600_000;

  /**
   * A peer's ban with less remaining time than this is ignored; otherwise two peers could renew
   * each other's bans without end.
   */
  private static final long MIN_SHARED_BAN_MS = 1_000;

  double scoreAt(long nowMs) {
    return score * Math.pow(0.5, (nowMs - changedAtMs) / HALF_LIFE_MS);
  }

  boolean isSuspectAt(long nowMs) {
    return nowMs - changedAtMs < RETENTION_MS
        && (scoreAt(nowMs) >= SUSPECT_SCORE || crashes >= SUSPECT_CRASHES);
  }

  boolean isBannedAt(long nowMs) {
    return nowMs < bannedUntilMs;
  }

  CrashSuspect withCrash(double fraction, long nowMs) {
    int earlierCrashes = nowMs - changedAtMs < RETENTION_MS ? crashes : 0;
    return new CrashSuspect(scoreAt(nowMs) + fraction, earlierCrashes + 1, nowMs, bannedUntilMs);
  }

  CrashSuspect withBan(long nowMs) {
    return new CrashSuspect(score, crashes, changedAtMs, nowMs + BAN_MS);
  }

  CrashSuspect withShared(CrashSuspects.Shared peerSuspect, long nowMs) {
    boolean adoptsBan = !isBannedAt(nowMs) && peerSuspect.bannedForMs() >= MIN_SHARED_BAN_MS;
    long untilMs = adoptsBan ? nowMs + Math.min(BAN_MS, peerSuspect.bannedForMs()) : bannedUntilMs;
    boolean worse = peerSuspect.score() > scoreAt(nowMs) || peerSuspect.crashes() > crashes;
    return worse
        ? new CrashSuspect(
            Math.max(scoreAt(nowMs), peerSuspect.score()),
            Math.max(crashes, peerSuspect.crashes()),
            nowMs,
            untilMs)
        : new CrashSuspect(score, crashes, changedAtMs, untilMs);
  }

  CrashSuspects.Shared toShared(long fingerprint, long nowMs) {
    long remainingMs = Math.max(0, bannedUntilMs - nowMs);
    return new CrashSuspects.Shared(fingerprint, scoreAt(nowMs), crashes, remainingMs);
  }
}
