package org.limpetdoor.core.gateway;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ZoneId;
import org.pcollections.PSet;

/**
 * What an engine says of itself in the list of engines.
 *
 * @param id identifier; an engine may come back under it after a restart
 * @param service service that it belongs to
 * @param address address as {@code ip:port}
 * @param zone zone that it runs in
 * @param slots requests that it runs at once
 * @param draining whether it is about to leave
 * @param startedAtMs when it started, in Unix milliseconds; tells two starts apart
 * @param ordersAccepted orders that it has accepted since its start
 * @param held models and adapters that it holds
 * @param copies models whose weights it keeps outside its accelerators, in memory or on disk
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
  /** Returns the entry of the same engine when it is about to leave. */
  EngineEntry withDraining() {
    return new EngineEntry(
        id, service, address, zone, slots, true, startedAtMs, ordersAccepted, held, copies);
  }
}
