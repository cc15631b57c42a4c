package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.placement.ModelDemand;

/**
 * An instance told its demand. A report replaces the last one of the same reporter. Reporters must
 * not overlap: one that forwards the sum of others reports in their place.
 *
 * @param atMs when, in monotonic milliseconds
 * @param reporter the instance that counted, this one included
 * @param models demand of each model that has any
 */
public record DemandReported(long atMs, InstanceId reporter, List<ModelDemand> models)
    implements Event {
  /** Copies the list. */
  public DemandReported {
    models = List.copyOf(models);
  }

  @Override
  public EventKind kind() {
    return EventKind.DEMAND_REPORTED;
  }
}
