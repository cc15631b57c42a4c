package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.agreed.AppendId;

/**
 * The log stored an append.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param id identifier of the append
 * @param offset offset of the stored record
 */
public record AppendAnswered(long atMs, AppendId id, long offset) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.APPEND_ANSWERED;
  }
}
