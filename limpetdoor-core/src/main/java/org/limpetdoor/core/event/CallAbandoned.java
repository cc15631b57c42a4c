package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * A caller has left before the end of the answer.
 *
 * @param atMs when, in monotonic milliseconds
 * @param call number of the call
 */
public record CallAbandoned(long atMs, long call) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALL_ABANDONED;
  }
}
