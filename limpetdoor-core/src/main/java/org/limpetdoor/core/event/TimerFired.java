package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The time requested by {@link org.limpetdoor.core.Timed#nextDeadlineMs()} has come.
 *
 * @param atMs time of the event, in monotonic milliseconds
 */
public record TimerFired(long atMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.TIMER_FIRED;
  }
}
