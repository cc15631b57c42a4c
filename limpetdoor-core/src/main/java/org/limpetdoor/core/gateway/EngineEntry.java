package org.limpetdoor.core.gateway;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ZoneId;
import org.pcollections.PSet;

/**
 * An engine's own entry in the list of engines.
 *
 * @param id identifier, which an engine may keep across restarts
 * @param service service that the engine belongs to
 * @param address address as {@code ip:port}
 * @param zone zone that the engine runs in
 * @param slots number of requests that it runs concurrently
 * @param draining whether the engine is shutting down
 * @param startedAtMs start time, in Unix milliseconds; distinguishes two starts of the same engine
 * @param ordersAccepted number of orders accepted since the start
 * @param held loaded models and adapters
 * @param copies models of which the engine has a copy in main memory or on disk
 */
public record EngineEntry(
    BackendId id,
    String service,
    String address,
    ZoneId zone,
    int slots,
    boolean draining,
    long startedAtMs,
    long ordersAccepted,
    PSet<ModelKey> held,
    PSet<String> copies) {
  /** Returns a copy of this entry with the engine marked as draining. */
  EngineEntry withDraining() {
    return new EngineEntry(
        id, service, address, zone, slots, true, startedAtMs, ordersAccepted, held, copies);
  }
}
