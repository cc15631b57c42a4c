package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The platform's store began or ceased to answer this instance.
 *
 * @param atMs when, in monotonic milliseconds
 * @param reachable whether it answers
 */
public record StoreContactChanged(long atMs, boolean reachable) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.STORE_CONTACT_CHANGED;
  }
}
