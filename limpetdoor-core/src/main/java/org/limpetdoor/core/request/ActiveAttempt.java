package org.limpetdoor.core.request;

import org.limpetdoor.core.id.BackendId;

/**
 * An attempt in flight.
 *
 * @param number number of the attempt, from 1
 * @param backend the back end
 * @param sentAtMs when it was dispatched, in monotonic milliseconds
 * @param started whether the first byte has arrived
 */
record ActiveAttempt(int number, BackendId backend, long sentAtMs, boolean started) {
  ActiveAttempt withStarted() {
    return new ActiveAttempt(number, backend, sentAtMs, true);
  }
}
