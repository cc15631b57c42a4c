package org.limpetdoor.core.request;

import org.limpetdoor.core.id.BackendId;

/**
 * An attempt in flight.
 *
 * @param number number of the attempt, from 1
 * @param backend the back end
 * @param sentAtMs when it was dispatched, in monotonic milliseconds
 * @param startedAtMs when the first byte arrived, in monotonic milliseconds, or -1
 */
record ActiveAttempt(int number, BackendId backend, long sentAtMs, long startedAtMs) {
  boolean started() {
    return startedAtMs >= 0;
  }

  ActiveAttempt withStarted(long nowMs) {
    return new ActiveAttempt(number, backend, sentAtMs, nowMs);
  }
}
