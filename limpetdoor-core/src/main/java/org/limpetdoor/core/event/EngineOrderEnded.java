package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineOrderResult;
import org.limpetdoor.core.id.BackendId;

/**
 * An order to an engine was answered, or no response arrived in time.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param engine the engine
 * @param order number of the order, unique in this process
 * @param result result of the order
 */
public record EngineOrderEnded(long atMs, BackendId engine, long order, EngineOrderResult result)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINE_ORDER_ENDED;
  }
}
