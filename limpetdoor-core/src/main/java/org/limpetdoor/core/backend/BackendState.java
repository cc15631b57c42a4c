package org.limpetdoor.core.backend;

import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.AttemptId;

/**
 * Status of one back end as seen by this instance.
 *
 * @param attempts dispatched attempts of this instance that have not ended
 * @param longInFlight number of these attempts that are long work
 * @param report latest load report, if any
 * @param leavingStatus whether the back end seems to be leaving, and until when it gets no new work
 * @param unreachableUntilMs time until which no new work is sent after failures, in monotonic
 *     milliseconds
 * @param crashedAtMs time of the last crash that this instance observed, in monotonic milliseconds,
 *     or -1
 * @param adapters adapters that the engine probably holds
 */
public record BackendState(
    InFlight attempts,
    int longInFlight,
    Optional<LoadReport> report,
    LeavingStatus leavingStatus,
    long unreachableUntilMs,
    long crashedAtMs,
    LoadedAdapters adapters) {
  /** State of a back end before any event about it. */
  public static final BackendState UNKNOWN =
      new BackendState(
          InFlight.NONE, 0, Optional.empty(), LeavingStatus.NONE, 0, -1, LoadedAdapters.NONE);

  /** Returns the number of attempts in flight. */
  public int inFlight() {
    return attempts.size();
  }

  /** Returns whether the back end seems to be leaving. */
  public boolean leaving() {
    return leavingStatus.isLeaving();
  }

  /** Returns a copy with an additional attempt in flight. */
  public BackendState withAttempt(
      AttemptId attempt, long fingerprint, boolean longWork, boolean suspect) {
    return withAttempts(
        attempts.with(attempt, fingerprint, suspect), longInFlight + (longWork ? 1 : 0));
  }

  /** Returns a copy without an attempt that has ended. */
  public BackendState withoutAttempt(AttemptId attempt, boolean longWork) {
    int remaining = longInFlight - (longWork ? 1 : 0);
    return withAttempts(attempts.without(attempt), Math.max(0, remaining));
  }

  /** Returns a copy that counts one more of the attempts in flight as long work. */
  public BackendState withDemoted() {
    return withAttempts(attempts, longInFlight + 1);
  }

  /** Returns a copy with a new load report. */
  public BackendState withReport(LoadReport value) {
    return new BackendState(
        attempts,
        longInFlight,
        Optional.of(value),
        leavingStatus,
        unreachableUntilMs,
        crashedAtMs,
        adapters);
  }

  /** Returns a copy that gets no new work until the given time. */
  public BackendState withUnreachableUntilMs(long value) {
    return new BackendState(
        attempts, longInFlight, report, leavingStatus, value, crashedAtMs, adapters);
  }

  /** Returns a copy with the given leaving status. */
  public BackendState withLeavingStatus(LeavingStatus value) {
    return new BackendState(
        attempts, longInFlight, report, value, unreachableUntilMs, crashedAtMs, adapters);
  }

  /** Returns a copy that records a crash at the given time. */
  public BackendState withCrash(long atMs) {
    return new BackendState(
        attempts, longInFlight, report, leavingStatus, unreachableUntilMs, atMs, adapters);
  }

  /** Returns a copy that records the use of an adapter. */
  public BackendState withAdapterUsed(AdapterId adapter) {
    return withAdapters(adapters.withUsed(adapter));
  }

  /** Returns a copy without loaded adapters, as after a restart of the engine. */
  public BackendState withoutAdapters() {
    return withAdapters(LoadedAdapters.NONE);
  }

  private BackendState withAdapters(LoadedAdapters value) {
    return new BackendState(
        attempts, longInFlight, report, leavingStatus, unreachableUntilMs, crashedAtMs, value);
  }

  private BackendState withAttempts(InFlight value, int longAttempts) {
    return new BackendState(
        value, longAttempts, report, leavingStatus, unreachableUntilMs, crashedAtMs, adapters);
  }
}
