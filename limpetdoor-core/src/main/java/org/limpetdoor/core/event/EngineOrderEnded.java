package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineOrderResult;
import org.limpetdoor.core.id.BackendId;

/**
 * An order to an engine was answered, or its answer did not come.
 *
 * @param atMs when, in monotonic milliseconds
 * @param engine the engine
 * @param order number of the order in this process
 * @param result the answer
 */
public record EngineOrderEnded(long atMs, BackendId engine, long order, EngineOrderResult result)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINE_ORDER_ENDED;
  }
}
