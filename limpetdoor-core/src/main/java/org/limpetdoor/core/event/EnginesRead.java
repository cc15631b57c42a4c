package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineListing;

/**
 * The list of engines, or changes of it, was read from the store.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param list the changes
 */
public record EnginesRead(long atMs, EngineListing list) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINES_READ;
  }
}
