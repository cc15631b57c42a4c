package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The time of day has advanced further than the monotonic clock, so the process may have been
 * suspended for a time that the monotonic clock does not count.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param lostMs time that the monotonic clock may lack, in milliseconds
 */
public record SuspensionSuspected(long atMs, long lostMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.SUSPENSION_SUSPECTED;
  }
}
