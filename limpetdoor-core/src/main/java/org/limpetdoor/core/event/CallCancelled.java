package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The caller of a forwarded call disconnected before the end of the response.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param call number of the call
 */
public record CallCancelled(long atMs, long call) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALL_CANCELLED;
  }
}
