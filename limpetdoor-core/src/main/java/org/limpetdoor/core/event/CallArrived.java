package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.CallSpec;

/**
 * A caller has sent a whole call.
 *
 * @param atMs when, in monotonic milliseconds
 * @param spec what is known of it
 */
public record CallArrived(long atMs, CallSpec spec) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.CALL_ARRIVED;
  }
}
