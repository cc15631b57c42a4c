package org.limpetdoor.core.gateway;

import org.limpetdoor.core.id.BackendId;

/**
 * An order to an engine.
 *
 * @param number number of the order in this process
 * @param engine the engine
 * @param action what it is to do
 * @param target the model or adapter
 * @param fencingNumber number that rises with each change of the holder of the placement duty
 * @param expectedOrders orders that the engine must have accepted before; it refuses otherwise
 */
public record EngineOrder(
    long number,
    BackendId engine,
    Action action,
    ModelKey target,
    long fencingNumber,
    long expectedOrders) {
  /** What an engine can be ordered to do. */
  public enum Action {
    /** Load a model or an adapter. */
    LOAD,
    /** Drop a model or an adapter. */
    UNLOAD
  }
}
