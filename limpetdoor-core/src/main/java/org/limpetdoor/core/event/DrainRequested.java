package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * An operator or the platform requested a graceful shutdown.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param drainTimeoutMs time after which the instance stops with requests still open, in
 *     milliseconds, at least 0
 */
public record DrainRequested(long atMs, long drainTimeoutMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.DRAIN_REQUESTED;
  }
}
