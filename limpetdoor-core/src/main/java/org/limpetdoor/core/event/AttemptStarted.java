package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.AttemptId;

/**
 * The first byte of a response arrived.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param attempt the attempt
 */
public record AttemptStarted(long atMs, AttemptId attempt) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ATTEMPT_STARTED;
  }
}
