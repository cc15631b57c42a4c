package org.limpetdoor.core.gateway;

import java.util.Locale;

/** Replies that the instance sends to callers in place of an engine's response. */
public enum Reply {
  /** No route matches. */
  NO_ROUTE(404, true),
  /** The caller did not present the key of an account, and the route requires one. */
  UNAUTHENTICATED(401, true),
  /** The account of the caller has used up its allowance. */
  ALLOWANCE_EXCEEDED(429, true),
  /** The instance has not received a configuration yet. */
  NO_CONFIGURATION(503, true),
  /** The instance is shutting down. */
  SHUTTING_DOWN(503, true),
  /** The service has no engine for the call, and no engine has run it. */
  NO_ENGINE(503, true),
  /** All engines for the call were full until its wait deadline passed, or would be. */
  ENGINES_FULL(503, true),
  /** All engines for the call accept no requests for longer than the call can wait. */
  ENGINES_CLOSED(503, true),
  /** No engine loaded the model or adapter before the wait deadline of the call passed. */
  MODEL_ABSENT(503, true),
  /** The same request has crashed engines before and is not run again. */
  CRASH_SUSPECT(502, false),
  /** The deadline of the caller or of the route passed before the call was sent. */
  EXPIRED_UNSENT(503, true),
  /** Too many long requests were being received, and there was no memory for the rest of it. */
  NO_MEMORY(503, true),
  /** The engine failed, and it is unknown whether the call ran. */
  OUTCOME_UNKNOWN(502, false),
  /** The deadline of the caller or of the route passed after the call was sent to an engine. */
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

  /** Returns whether the reply guarantees that the call has not run. */
  public boolean notRun() {
    return notRun;
  }

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
