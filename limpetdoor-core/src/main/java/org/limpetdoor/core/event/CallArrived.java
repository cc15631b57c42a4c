package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.CallSpec;

/**
 * A caller has sent a complete call.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param spec properties of the call
 * @param receivedAtMs earliest time at which the request may have reached this machine, in
 *     monotonic milliseconds; the caller's time limit counts from then
 */
public record CallArrived(long atMs, CallSpec spec, long receivedAtMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALL_ARRIVED;
  }
}
