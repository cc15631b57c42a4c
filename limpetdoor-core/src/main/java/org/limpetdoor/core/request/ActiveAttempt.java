package org.limpetdoor.core.request;

import org.limpetdoor.core.backend.AnsweredPromptParts;
import org.limpetdoor.core.id.BackendId;

/**
 * An attempt in flight.
 *
 * @param number number of the attempt, from 1
 * @param backend the back end
 * @param sentAtMs time of dispatch, in monotonic milliseconds
 * @param startedAtMs arrival time of the first byte, in monotonic milliseconds, or -1 before it
 */
record ActiveAttempt(int number, BackendId backend, long sentAtMs, long startedAtMs) {
  boolean started() {
    return startedAtMs >= 0;
  }

  /** Returns whether the response shows that the parts of the prompt do not crash engines. */
  boolean showsSoundPrompt(long nowMs) {
    return started() && AnsweredPromptParts.isSoundAnswer(startedAtMs, nowMs);
  }

  ActiveAttempt withStarted(long nowMs) {
    return new ActiveAttempt(number, backend, sentAtMs, nowMs);
  }
}
