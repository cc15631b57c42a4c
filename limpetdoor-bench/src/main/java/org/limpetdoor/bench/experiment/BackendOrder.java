package org.limpetdoor.bench.experiment;

import java.util.List;
import org.limpetdoor.core.config.Engine;

/** Chooses one of the engines that hold a model. */
enum BackendOrder {
  /** Takes the engines in turn. */
  ROUND_ROBIN {
    @Override
    Engine choose(List<Engine> engines, long turn, Outstanding outstanding) {
      return engines.get((int) (turn % engines.size()));
    }
  },
  /** Takes the engine with the fewest requests of this instance in flight; ties are in turn. */
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

  /** Requests of this instance in flight at an engine. */
  @FunctionalInterface
  interface Outstanding {
    int of(Engine engine);
  }

  abstract Engine choose(List<Engine> engines, long turn, Outstanding outstanding);
}
