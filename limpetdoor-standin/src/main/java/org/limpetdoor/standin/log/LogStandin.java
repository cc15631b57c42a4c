package org.limpetdoor.standin.log;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Stand-in of the log service. */
public final class LogStandin extends Standin<LogState> {
  /** Creates the stand-in and starts its control loop. */
  public LogStandin(LogSettings settings, Connections connections) {
    super("log", LogState.initial(settings), connections);
  }
}
