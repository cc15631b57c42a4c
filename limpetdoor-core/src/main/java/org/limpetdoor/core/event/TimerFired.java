package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The time that the state asked for has come.
 *
 * @param atMs when, in monotonic milliseconds
 */
public record TimerFired(long atMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.TIMER_FIRED;
  }
}
