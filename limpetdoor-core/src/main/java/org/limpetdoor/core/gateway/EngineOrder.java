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
 * @param source where the engine takes the weights from
 */
public record EngineOrder(
    long number,
    BackendId engine,
    Action action,
    ModelKey target,
    long fencingNumber,
    long expectedOrders,
    Source source) {
  /** Where the weights of a model come from. */
  public enum Source {
    /** Nothing is loaded, or an adapter, which the weight store does not count. */
    NONE,
    /** The weight store, which allows a few loads a second over all engines. */
    STORE,
    /** A copy in the engine's own memory or on its disk, which is several times faster. */
    COPY
  }

  /** What an engine can be ordered to do. */
  public enum Action {
    /** Load a model or an adapter. */
    LOAD,
    /** Drop a model or an adapter. */
    UNLOAD
  }
}
