package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.agreed.AppendFailure;
import org.limpetdoor.core.agreed.AppendId;

/**
 * An append was not answered with an offset.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param id identifier of the append
 * @param failure whether the record may have been stored
 */
public record AppendFailed(long atMs, AppendId id, AppendFailure failure) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.APPEND_FAILED;
  }
}
