package org.limpetdoor.standin.engine;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.StandinEvent;
import org.limpetdoor.standin.effect.Connections;

/** Stand-in of an engine. */
public final class EngineStandin extends Standin<EngineState> {
  private final int maxTokens;

  /** Creates the stand-in and starts its control loop. */
  public EngineStandin(EngineSettings settings, Connections connections) {
    super("engine", EngineState.initial(settings), connections);
    this.maxTokens = settings.maxTokens();
  }

  int maxTokens() {
    return maxTokens;
  }

  @Override
  protected StandinEvent<EngineState> disconnectedEvent(long exchangeId, long atMs) {
    return new EngineEvent.Disconnected(exchangeId, atMs);
  }
}
