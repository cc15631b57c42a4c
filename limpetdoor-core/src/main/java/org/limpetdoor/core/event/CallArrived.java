package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.CallSpec;

/**
 * A caller has sent a complete call.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param spec properties of the call
 */
public record CallArrived(long atMs, CallSpec spec) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALL_ARRIVED;
  }
}
