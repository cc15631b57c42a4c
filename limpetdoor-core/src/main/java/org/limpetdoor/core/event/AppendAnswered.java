package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.agreed.AppendId;

/**
 * The log stored an append.
 *
 * @param atMs when, in monotonic milliseconds
 * @param id identifier of the append
 * @param offset where it is stored
 */
public record AppendAnswered(long atMs, AppendId id, long offset) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.APPEND_ANSWERED;
  }
}
