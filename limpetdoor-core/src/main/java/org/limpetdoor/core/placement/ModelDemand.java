package org.limpetdoor.core.placement;

import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.ModelId;

/**
 * Demand for one model at one reporter.
 *
 * @param model the model
 * @param running requests in execution, at least 0
 * @param waiting requests in queues, at least 0
 */
public record ModelDemand(ModelId model, int running, int waiting) {
  /** Checks ranges. */
  public ModelDemand {
    Ranges.atLeast("running", running, 0);
    Ranges.atLeast("waiting", waiting, 0);
  }

  /** Returns the number of engine slots that would serve all requests at once. */
  int slots() {
    return running + waiting;
  }
}
