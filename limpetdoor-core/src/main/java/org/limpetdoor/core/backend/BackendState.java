package org.limpetdoor.core.backend;

import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;
import org.limpetdoor.core.id.AttemptId;

/**
 * What this instance knows about one back end.
 *
 * @param attempts attempts of this instance that have been dispatched and not ended
 * @param longInFlight those of them that are long work
 * @param report last load report, if any
 * @param departure signs that the back end is leaving
 * @param unreachableUntilMs time until which no new work is sent after failures, in monotonic
 *     milliseconds
 * @param crashedAtMs time of its last crash as far as known, in monotonic milliseconds, or -1
 * @param adapters adapters that it probably holds
 */
public record BackendState(
    InFlight attempts,
    int longInFlight,
    Optional<LoadReport> report,
    Departure departure,
    long unreachableUntilMs,
    long crashedAtMs,
    HeldAdapters adapters) {
  /** A back end about which nothing is known. */
  public static final BackendState UNKNOWN =
      new BackendState(
          InFlight.NONE, 0, Optional.empty(), Departure.NONE, 0, -1, HeldAdapters.NONE);

  /** Returns the number of attempts in flight. */
  public int inFlight() {
    return attempts.size();
  }

  /** Returns whether a sign was seen that the back end is leaving. */
  public boolean leaving() {
    return departure.pending();
  }

  /** Returns a copy with one more attempt in flight. */
  public BackendState withAttempt(
      AttemptId attempt, long fingerprint, boolean longWork, boolean suspect) {
    return withAttempts(
        attempts.with(attempt, fingerprint, suspect), longInFlight + (longWork ? 1 : 0));
  }

  /** Returns a copy with one attempt less in flight. */
  public BackendState withoutAttempt(AttemptId attempt, boolean longWork) {
    int left = longInFlight - (longWork ? 1 : 0);
    return withAttempts(attempts.without(attempt), Math.max(0, left));
  }

  /** Returns a copy in which one attempt turned out to be long work. */
  public BackendState withDemoted() {
    return withAttempts(attempts, longInFlight + 1);
  }

  /** Returns a copy with a new load report. */
  public BackendState withReport(LoadReport value) {
    return new BackendState(
        attempts,
        longInFlight,
        Optional.of(value),
        departure,
        unreachableUntilMs,
        crashedAtMs,
        adapters);
  }

  /** Returns a copy that gets no new work until the given time. */
  public BackendState withUnreachableUntilMs(long value) {
    return new BackendState(
        attempts, longInFlight, report, departure, value, crashedAtMs, adapters);
  }

  /** Returns a copy with other signs that the back end is leaving. */
  public BackendState withDeparture(Departure value) {
    return new BackendState(
        attempts, longInFlight, report, value, unreachableUntilMs, crashedAtMs, adapters);
  }

  /** Returns a copy after a crash. */
  public BackendState withCrash(long atMs) {
    return new BackendState(
        attempts, longInFlight, report, departure, unreachableUntilMs, atMs, adapters);
  }

  /** Returns a copy after the use of an adapter. */
  public BackendState withAdapterUsed(AdapterId adapter) {
    return withAdapters(adapters.withUsed(adapter));
  }

  /** Returns a copy that holds no adapters, as after a restart. */
  public BackendState withoutAdapters() {
    return withAdapters(HeldAdapters.NONE);
  }

  private BackendState withAdapters(HeldAdapters value) {
    return new BackendState(
        attempts, longInFlight, report, departure, unreachableUntilMs, crashedAtMs, value);
  }

  private BackendState withAttempts(InFlight all, int ofLong) {
    return new BackendState(
        all, ofLong, report, departure, unreachableUntilMs, crashedAtMs, adapters);
  }
}
