package org.limpetdoor.gateway;

import java.util.Set;

/** HTTP statuses that guarantee to callers that their call has not run and never will. */
final class NotRunStatus {
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private NotRunStatus() {}

  /** Returns whether callers treat the status as a guarantee that the call has not run. */
  static boolean guaranteesNotRun(int status) {
    return NOT_RUN.contains(status);
  }
}
