package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The platform's store started or stopped answering this instance.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param reachable whether it answers
 */
public record StoreContactChanged(long atMs, boolean reachable) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.STORE_CONTACT_CHANGED;
  }
}
