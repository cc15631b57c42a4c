package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.BackendId;

/**
 * The instance list, the back end itself or a peer said that a back end is leaving. The source
 * repeats it at least every 10 s while it holds.
 *
 * @param atMs when, in monotonic milliseconds
 * @param backend the back end
 */
public record BackendLeaving(long atMs, BackendId backend) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.BACKEND_LEAVING;
  }
}
