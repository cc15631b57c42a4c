package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.BackendId;

/**
 * A back end reported its load. Reports lag behind the actual load.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param backend the back end
 * @param running calls of all instances that the back end is running
 * @param queued calls of all instances that wait at the back end
 */
public record BackendLoadReported(long atMs, BackendId backend, int running, int queued)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.BACKEND_LOAD_REPORTED;
  }
}
