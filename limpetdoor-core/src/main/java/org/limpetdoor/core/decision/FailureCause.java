package org.limpetdoor.core.decision;

import java.util.Locale;

/** Causes for which a forwarded call was refused, failed or was aborted. */
public enum FailureCause {
  /** All engines that could run the call may have run it already. */
  NO_UNTRIED_ENGINE,
  /** All engines that could run the call were full or rejected it. */
  ENGINES_FULL,
  /** By the rate at which places come free, the call could not be started in its time limit. */
  NO_PLACE_IN_TIME,
  /** The call gave its place in the waiting room to a call of an account with a lower use. */
  GAVE_WAY,
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

  /** Returns whether there were engines for the call, but too few places. */
  public boolean lacksCapacity() {
    return this == ENGINES_FULL || this == NO_PLACE_IN_TIME || this == GAVE_WAY;
  }

  /** Returns the name for log lines and metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
