package org.limpetdoor.core.gateway;

import org.limpetdoor.core.id.BackendId;

/**
 * An order to load or unload a model or adapter.
 *
 * @param number number of the order in this process
 * @param engine engine that receives the order
 * @param action what the engine is to do
 * @param target model or adapter
 * @param fencingNumber number that rises with each change of the holder of the placement duty
 * @param expectedOrders number of orders that the engine must have accepted before; it refuses the
 *     order otherwise
 * @param source where the engine gets the weights from
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
    /**
     * The order unloads something, or loads an adapter, which does not count against the load rate
     * of the weight store.
     */
    NONE,
    /** The weight store, which allows a few loads per second over all engines. */
    STORE,
    /** A copy in the engine's own memory or on its disk, which is several times faster. */
    COPY
  }

  /** What an engine can be ordered to do. */
  public enum Action {
    /** Load a model or an adapter. */
    LOAD,
    /** Unload a model or an adapter. */
    UNLOAD
  }
}
