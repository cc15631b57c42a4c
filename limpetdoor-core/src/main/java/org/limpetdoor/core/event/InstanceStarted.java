package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.limits.LimitMode;

/**
 * The instance starts to take part in the agreement. This is the first event of a process.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param limitMode how the instance derives its share of the contract limits
 */
public record InstanceStarted(long atMs, LimitMode limitMode) implements Event {
  /** Creates the event for an instance that never exceeds the contract limits. */
  public InstanceStarted(long atMs) {
    this(atMs, LimitMode.STRICT);
  }

  @Override
  public EventKind kind() {
    return EventKind.INSTANCE_STARTED;
  }
}
