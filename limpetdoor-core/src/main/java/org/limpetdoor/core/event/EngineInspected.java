package org.limpetdoor.core.event;

import java.util.Optional;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineInventory;
import org.limpetdoor.core.id.BackendId;

/**
 * An engine reported its loaded models and adapters, or did not answer.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param engine the engine
 * @param inventory the report, or empty if there was no valid response
 */
public record EngineInspected(long atMs, BackendId engine, Optional<EngineInventory> inventory)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINE_INSPECTED;
  }
}
