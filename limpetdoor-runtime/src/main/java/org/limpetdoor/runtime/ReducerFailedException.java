package org.limpetdoor.runtime;

import org.limpetdoor.core.LimpetdoorException;

/** Reports that a reducer threw an exception, which ends its control thread. */
public final class ReducerFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  ReducerFailedException(RuntimeException cause) {
    super("the reducer failed: " + cause, null, cause);
  }
}
