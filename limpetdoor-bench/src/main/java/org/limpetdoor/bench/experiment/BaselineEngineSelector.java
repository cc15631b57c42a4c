package org.limpetdoor.bench.experiment;

import java.util.List;
import org.limpetdoor.core.config.Engine;

/** Baseline rules that select one of the engines with a model. */
enum BaselineEngineSelector {
  /** Selects the engines in turn. */
  ROUND_ROBIN {
    @Override
    Engine select(List<Engine> engines, long turn, InFlightCount inFlight) {
      return engines.get((int) (turn % engines.size()));
    }
  },
  /** Selects the engine with the fewest in-flight requests of this instance; ties in turn. */
  LEAST_OUTSTANDING {
    @Override
    Engine select(List<Engine> engines, long turn, InFlightCount inFlight) {
      Engine best = null;
      for (int i = 0; i < engines.size(); i++) {
        Engine engine = engines.get((int) ((turn + i) % engines.size()));
        if (best == null || inFlight.of(engine) < inFlight.of(best)) {
          best = engine;
        }
      }
      return best;
    }
  };

  /** Number of in-flight requests of this instance at an engine. */
  @FunctionalInterface
  interface InFlightCount {
    int of(Engine engine);
  }

  abstract Engine select(List<Engine> engines, long turn, InFlightCount inFlight);
}
