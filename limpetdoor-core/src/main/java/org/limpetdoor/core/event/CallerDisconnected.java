package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.RequestId;

/**
 * A caller closed its connection before it received the complete response.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param request the request
 */
public record CallerDisconnected(long atMs, RequestId request) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALLER_DISCONNECTED;
  }
}
