package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.request.RequestSpec;

/**
 * A front end received a request.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param spec properties of the request
 */
public record RequestArrived(long atMs, RequestSpec spec) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.REQUEST_ARRIVED;
  }
}
