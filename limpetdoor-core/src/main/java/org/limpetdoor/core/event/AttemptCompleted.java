package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.AttemptId;

/**
 * A back end answered an attempt to the end, and the caller was sent all of it.
 *
 * @param atMs when, in monotonic milliseconds
 * @param attempt the attempt
 * @param outputTokens tokens of the answer, 0 for plain services
 */
public record AttemptCompleted(long atMs, AttemptId attempt, int outputTokens) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ATTEMPT_COMPLETED;
  }
}
