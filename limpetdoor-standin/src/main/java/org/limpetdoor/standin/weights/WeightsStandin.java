package org.limpetdoor.standin.weights;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Stand-in of the weight store. */
public final class WeightsStandin extends Standin<WeightsState> {
  /** Creates the stand-in and starts its control loop. */
  public WeightsStandin(WeightsSettings settings, Connections connections) {
    super("weights", WeightsState.initial(settings), connections);
  }
}
