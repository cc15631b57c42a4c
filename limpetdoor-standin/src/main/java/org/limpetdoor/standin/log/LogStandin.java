package org.limpetdoor.standin.log;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Running log service. */
public final class LogStandin extends Standin<LogState> {
  /** Starts the control loop. */
  public LogStandin(LogSettings settings, Connections connections) {
    super("log", LogState.initial(settings), connections);
  }
}
