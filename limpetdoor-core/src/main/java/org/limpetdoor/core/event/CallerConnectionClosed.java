package org.limpetdoor.core.event;

import java.util.OptionalLong;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.decision.RequestProgress;

/**
 * The instance closed the connection of a caller.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param call number of the open call, if there is one
 * @param reason reason for closing the connection
 * @param progress progress of the request on the connection
 */
public record CallerConnectionClosed(
    long atMs, OptionalLong call, ConnectionCloseReason reason, RequestProgress progress)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALLER_CONNECTION_CLOSED;
  }
}
