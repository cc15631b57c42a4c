package org.limpetdoor.scenario;

import org.limpetdoor.core.LimpetdoorException;

/** Thrown when a step names something that does not exist, or has an invalid value. */
public final class ScenarioException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception; the report adds file and line of the step. */
  public ScenarioException(String message) {
    super(message, null);
  }
}
