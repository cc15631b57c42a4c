package org.limpetdoor.bench.experiment;

import java.util.List;
import org.limpetdoor.core.config.Engine;

/** Baseline rules that select one of the engines with a model. */
enum BackendOrder {
  /** Selects the engines in turn. */
  ROUND_ROBIN {
    @Override
    Engine choose(List<Engine> engines, long turn, Outstanding outstanding) {
      return engines.get((int) (turn % engines.size()));
    }
  },
  /** Selects the engine with the fewest in-flight requests of this instance; ties in turn. */
  LEAST_OUTSTANDING {
    @Override
    Engine choose(List<Engine> engines, long turn, Outstanding outstanding) {
      Engine best = null;
      for (int i = 0; i < engines.size(); i++) {
        Engine engine = engines.get((int) ((turn + i) % engines.size()));
        if (best == null || outstanding.of(engine) < outstanding.of(best)) {
          best = engine;
        }
      }
      return best;
    }
  };

  /** Number of in-flight requests of this instance at an engine. */
  @FunctionalInterface
  interface Outstanding {
    int of(Engine engine);
  }

  abstract Engine choose(List<Engine> engines, long turn, Outstanding outstanding);
}
