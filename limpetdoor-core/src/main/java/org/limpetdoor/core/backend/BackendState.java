package org.limpetdoor.core.backend;

import java.util.Optional;
import org.limpetdoor.core.id.AdapterId;

/**
 * What this instance knows about one back end.
 *
 * @param inFlight attempts of this instance that have been dispatched and not ended
 * @param longInFlight those of them that are long work
 * @param report last load report, if any
 * @param leaving whether a sign was seen that the back end is leaving
 * @param unreachableUntilMs time until which no new work is sent after failures, in monotonic
 *     milliseconds
 * @param adapters adapters that it probably holds
 */
public record BackendState(
    int inFlight,
    int longInFlight,
    Optional<LoadReport> report,
    boolean leaving,
    long unreachableUntilMs,
    HeldAdapters adapters) {
  /** A back end about which nothing is known. */
  public static final BackendState UNKNOWN =
      new BackendState(0, 0, Optional.empty(), false, 0, HeldAdapters.NONE);

  /** Returns a copy with one more attempt in flight. */
  public BackendState withAttemptStarted(boolean longWork) {
    return withInFlight(inFlight + 1, longInFlight + (longWork ? 1 : 0));
  }

  /** Returns a copy with one attempt less in flight. */
  public BackendState withAttemptEnded(boolean longWork) {
    int left = longInFlight - (longWork ? 1 : 0);
    return withInFlight(Math.max(0, inFlight - 1), Math.max(0, left));
  }

  /** Returns a copy in which one attempt turned out to be long work. */
  public BackendState withDemoted() {
    return withInFlight(inFlight, longInFlight + 1);
  }

  /** Returns a copy with a new load report. */
  public BackendState withReport(LoadReport value) {
    return new BackendState(
        inFlight, longInFlight, Optional.of(value), leaving, unreachableUntilMs, adapters);
  }

  /** Returns a copy that gets no new work until the given time. */
  public BackendState withUnreachableUntilMs(long value) {
    return new BackendState(inFlight, longInFlight, report, leaving, value, adapters);
  }

  /** Returns a copy that is leaving or not. */
  public BackendState withLeaving(boolean value) {
    return new BackendState(inFlight, longInFlight, report, value, unreachableUntilMs, adapters);
  }

  /** Returns a copy after the use of an adapter. */
  public BackendState withAdapterUsed(AdapterId adapter) {
    return new BackendState(
        inFlight, longInFlight, report, leaving, unreachableUntilMs, adapters.withUsed(adapter));
  }

  /** Returns a copy that holds no adapters, as after a restart. */
  public BackendState withoutAdapters() {
    return new BackendState(
        inFlight, longInFlight, report, leaving, unreachableUntilMs, HeldAdapters.NONE);
  }

  private BackendState withInFlight(int all, int ofLong) {
    return new BackendState(all, ofLong, report, leaving, unreachableUntilMs, adapters);
  }
}
