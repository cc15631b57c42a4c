package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.AttemptId;

/**
 * A back end completed the response of an attempt, and all of it was sent to the caller.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param attempt the attempt
 * @param outputTokens number of tokens of the response, or 0 for plain services
 */
public record AttemptCompleted(long atMs, AttemptId attempt, int outputTokens) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ATTEMPT_COMPLETED;
  }
}
