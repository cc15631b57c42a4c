package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The instance starts to take part in the agreement. It is the first event of a process.
 *
 * @param atMs when, in monotonic milliseconds
 */
public record InstanceStarted(long atMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.INSTANCE_STARTED;
  }
}
