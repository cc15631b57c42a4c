package org.limpetdoor.core.decision;

import java.util.Locale;

/** Causes for which a forwarded call was refused, failed or was aborted. */
public enum FailureCause {
  /** All engines that could run the call may have run it already. */
  NO_UNTRIED_ENGINE,
  /** All engines that could run the call were full or rejected it. */
  ENGINES_FULL,
  /** All engines that could run the call accepted no requests for longer than it could wait. */
  ENGINES_CLOSED,
  /** No engine had the model or adapter loaded. */
  MODEL_NOT_LOADED,
  /** The service had no usable engine. */
  NO_ENGINE,
  /** The retry budget of this instance was empty. */
  RETRY_BUDGET_EMPTY,
  /** The route allows no further run of the call. */
  NO_RUN_LEFT,
  /** The same request has crashed engines. */
  REQUEST_BANNED,
  /** The deadline of the caller or of the route passed. */
  EXPIRED,
  /** The instance ends. */
  SHUTTING_DOWN;

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
