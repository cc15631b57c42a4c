package org.limpetdoor.core.gateway;

import java.util.Locale;

/** What the instance itself says to a caller in place of an engine's answer. */
public enum Reply {
  /** No route matches. */
  NO_ROUTE(404, true),
  /** No configuration is known yet. */
  NO_CONFIGURATION(503, true),
  /** The instance shuts down. */
  SHUTTING_DOWN(503, true),
  /** The service has no engine that could take the call, and none has run it. */
  NO_ENGINE(503, true),
  /** All engines that could take the call were full for as long as it may wait. */
  ENGINES_FULL(503, true),
  /** No engine loaded the model or adapter for as long as the call may wait. */
  MODEL_ABSENT(503, true),
  /** The call has crashed engines before and is not run again. */
  CRASH_SUSPECT(502, false),
  /** The time of the caller or of the route ran out before the call was sent. */
  EXPIRED_UNSENT(503, true),
  /** The engine failed, and whether the call ran is unknown. */
  OUTCOME_UNKNOWN(502, false),
  /** The time of the route ran out while an engine had the call. */
  TIMED_OUT(504, false);

  private final int status;
  private final boolean notRun;

  Reply(int status, boolean notRun) {
    this.status = status;
    this.notRun = notRun;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns whether the reply promises that the call has not run. */
  public boolean notRun() {
    return notRun;
  }

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
