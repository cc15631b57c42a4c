package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.placement.ModelDemand;

/**
 * An instance reported its demand. A report replaces the previous one of the same reporter. Reports
 * must not overlap: an instance that forwards the sum of others reports in their place.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param reporter the reporting instance, which may be this one
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
