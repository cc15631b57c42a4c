package org.limpetdoor.core.backend;

import java.util.Optional;

/**
 * What this instance knows about one back end.
 *
 * @param inFlight attempts of this instance that have been dispatched and not ended
 * @param report last load report, if any
 * @param leaving whether a sign was seen that the back end is leaving
 * @param unreachableUntilMs time until which no new work is sent after failures, in monotonic
 *     milliseconds
 */
public record BackendState(
    int inFlight, Optional<LoadReport> report, boolean leaving, long unreachableUntilMs) {
  /** A back end about which nothing is known. */
  public static final BackendState UNKNOWN = new BackendState(0, Optional.empty(), false, 0);

  /** Returns a copy with one more attempt in flight. */
  public BackendState withAttemptStarted() {
    return new BackendState(inFlight + 1, report, leaving, unreachableUntilMs);
  }

  /** Returns a copy with one attempt less in flight. */
  public BackendState withAttemptEnded() {
    return new BackendState(Math.max(0, inFlight - 1), report, leaving, unreachableUntilMs);
  }

  /** Returns a copy with a new load report. */
  public BackendState withReport(LoadReport value) {
    return new BackendState(inFlight, Optional.of(value), leaving, unreachableUntilMs);
  }

  /** Returns a copy that gets no new work until the given time. */
  public BackendState withUnreachableUntilMs(long value) {
    return new BackendState(inFlight, report, leaving, value);
  }

  /** Returns a copy that is leaving or not. */
  public BackendState withLeaving(boolean value) {
    return new BackendState(inFlight, report, value, unreachableUntilMs);
  }
}
