package org.limpetdoor.core.gateway;

import org.limpetdoor.core.gateway.EngineSelector.Choice;
import org.limpetdoor.core.gateway.EngineSelector.Verdict;

/**
 * Decides whether a call waits for an engine that accepts no requests for a while, or is refused at
 * once with a time to return. It answers the load at which all engines of a model reject requests
 * for longer than callers wait: a call that waits in vain loses the time in which it could return.
 */
final class ClosedEngineAdmission {
  /** Part of the remaining time for which callers are willing to stay away. */
  private static final int MAX_RETURN_DIVISOR = 3;

  private ClosedEngineAdmission() {}

  /** Returns whether all engines for a call are closed until after its wait deadline. */
  static boolean opensTooLate(Call call, Choice choice) {
    return choice.verdict() == Verdict.CLOSED && choice.opensAtMs() > call.waitDeadlineMs();
  }

  /**
   * Returns the time after which the caller should return, in milliseconds: when the first engine
   * accepts requests again, but no later than the caller is willing to stay away.
   *
   * @param call the call
   * @param nowMs current time, in monotonic milliseconds
   * @param opensAtMs time at which the first engine accepts requests, in monotonic milliseconds
   */
  static long returnAfterMs(Call call, long nowMs, long opensAtMs) {
    long longestMs = Math.max(1, (call.deadlineMs() - nowMs) / MAX_RETURN_DIVISOR);
    return Math.min(Math.max(1, opensAtMs - nowMs), longestMs);
  }
}
