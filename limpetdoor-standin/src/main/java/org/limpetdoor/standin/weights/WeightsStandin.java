package org.limpetdoor.standin.weights;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Running weight store. */
public final class WeightsStandin extends Standin<WeightsState> {
  /** Starts the control loop. */
  public WeightsStandin(WeightsSettings settings, Connections connections) {
    super("weights", WeightsState.initial(settings), connections);
  }
}
