package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.request.AttemptFailure;

/**
 * An attempt ended without a complete response.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param attempt the attempt
 * @param failure kind of the failure
 * @param deliveredTokens number of tokens of the response that the caller has received in all
 *     attempts
 */
public record AttemptFailed(
    long atMs, AttemptId attempt, AttemptFailure failure, int deliveredTokens) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ATTEMPT_FAILED;
  }
}
