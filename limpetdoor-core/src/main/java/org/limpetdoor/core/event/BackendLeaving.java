package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.BackendId;

/**
 * The instance list, the back end itself or a peer announced that a back end is leaving. The source
 * repeats the announcement at least every 10 s as long as it applies.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param backend the back end
 */
public record BackendLeaving(long atMs, BackendId backend) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.BACKEND_LEAVING;
  }
}
