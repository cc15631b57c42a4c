package org.limpetdoor.core.decision;

import java.util.Locale;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;

/** Progress of the current request on the connection of a caller. */
public enum RequestProgress {
  /** No request has been received since the last response. */
  NONE {
    @Override
    public long maxQuietMs(CallerLimits known, CallerLimits current) {
      return Math.max(known.idleTimeoutMs(), current.idleTimeoutMs());
    }
  },
  /** Part of a request has been received. */
  READING {
    @Override
    public long maxQuietMs(CallerLimits known, CallerLimits current) {
      return Math.max(known.headerTimeoutMs(), current.headerTimeoutMs());
    }
  },
  /** A complete request has been received and has no complete response. */
  OPEN {
    @Override
    public long maxQuietMs(CallerLimits known, CallerLimits current) {
      return Timed.NEVER_MS;
    }
  },
  /** The response is complete, but part of it has not been sent yet. */
  RESPONDING {
    @Override
    public long maxQuietMs(CallerLimits known, CallerLimits current) {
      return MAX_SENDING_MS;
    }
  };

  /** Time for a caller to read a complete response, in milliseconds. */
  private static final long MAX_SENDING_MS = 60_000;

  /**
   * Returns the time without progress after which the connection may be closed, in milliseconds.
   * Callers may use an idle connection for as long as the limits allowed when it became idle.
   *
   * @param known limits that were in force when the connection became idle
   * @param current limits that are in force now
   */
  public abstract long maxQuietMs(CallerLimits known, CallerLimits current);

  /** Returns the name for log lines. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
