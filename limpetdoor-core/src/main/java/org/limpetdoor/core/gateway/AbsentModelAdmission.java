package org.limpetdoor.core.gateway;

import java.util.Optional;

/**
 * Decides whether a call for a model that no engine has loaded waits, or is refused at once with a
 * time to return. It answers the load at which demand moves to models that are not loaded: a load
 * from the weight store takes longer than most callers wait for a first event, and a call that
 * waits in vain loses more time than one that returns when the model is there.
 */
final class AbsentModelAdmission {
  /**
   * Time from the first request for a model to the start of its load and from the end of the load
   * to the first call, in milliseconds.
   */
  private static final long ORDER_MS = 500;

  /** Part of the remaining time for which callers are willing to stay away. */
  private static final int MAX_RETURN_DIVISOR = 3;

  private AbsentModelAdmission() {}

  /**
   * Returns the time after which the caller should return, in milliseconds, or nothing if the call
   * waits. A call whose model is overdue waits, because the end of the load is not known then.
   *
   * @param call the call
   * @param nowMs current time, in monotonic milliseconds
   * @param absentSinceMs time at which the model was first found absent, in monotonic milliseconds
   * @param loadMs time to load the model from the weight store, in milliseconds
   */
  static Optional<Long> returnAfterMs(Call call, long nowMs, long absentSinceMs, long loadMs) {
    long loadedAtMs = absentSinceMs + ORDER_MS + loadMs;
    boolean overdue = loadedAtMs <= nowMs;
    boolean inTime = loadedAtMs <= call.waitDeadlineMs();
    if (call.mayHaveRun() || call.delivered() || overdue || inTime) {
      return Optional.empty();
    }
    long longestMs = (call.deadlineMs() - nowMs) / MAX_RETURN_DIVISOR;
    return Optional.of(Math.min(loadedAtMs - nowMs, longestMs));
  }
}
