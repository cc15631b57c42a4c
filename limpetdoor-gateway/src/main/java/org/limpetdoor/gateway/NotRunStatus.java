package org.limpetdoor.gateway;

import java.util.Set;

/** Statuses with which callers are promised that their call has not run and never will. */
final class NotRunStatus {
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  private NotRunStatus() {}

  /** Returns whether a caller takes the status as a promise that the call has not run. */
  static boolean guaranteesNotRun(int status) {
    return NOT_RUN.contains(status);
  }
}
