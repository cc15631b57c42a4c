package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.membership.ListedInstance;

/**
 * The instance list was read. It lags behind the actual state.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param instances instances that are live or leaving
 */
public record InstancesListed(long atMs, List<ListedInstance> instances) implements Event {
  /** Copies the list. */
  public InstancesListed {
    instances = List.copyOf(instances);
  }

  @Override
  public EventKind kind() {
    return EventKind.INSTANCES_LISTED;
  }
}
