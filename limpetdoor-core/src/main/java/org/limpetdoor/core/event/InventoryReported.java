package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.placement.InventoryModel;
import org.limpetdoor.core.placement.InventoryQuery;

/**
 * An engine reported the models that occupy its memory, including those that it is loading.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param engine the engine
 * @param query context of the effect that requested the inventory
 * @param held the models
 */
public record InventoryReported(
    long atMs, BackendId engine, InventoryQuery query, List<InventoryModel> held) implements Event {
  /** Copies the list. */
  public InventoryReported {
    held = List.copyOf(held);
  }

  @Override
  public EventKind kind() {
    return EventKind.INVENTORY_REPORTED;
  }
}
