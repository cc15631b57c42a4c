package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.RequestId;

/**
 * The caller closed its connection before it had the whole answer.
 *
 * @param atMs when, in monotonic milliseconds
 * @param request the request
 */
public record CallerDisconnected(long atMs, RequestId request) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALLER_DISCONNECTED;
  }
}
