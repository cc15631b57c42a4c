package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.AttemptFailure;

/**
 * An attempt ended without a whole answer.
 *
 * @param atMs when, in monotonic milliseconds
 * @param attempt the attempt
 * @param failure how it failed
 * @param deliveredTokens tokens of the whole answer that the caller has by now
 */
public record AttemptFailed(
    long atMs, AttemptId attempt, AttemptFailure failure, int deliveredTokens) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ATTEMPT_FAILED;
  }
}
