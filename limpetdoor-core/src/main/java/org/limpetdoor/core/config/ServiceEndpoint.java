package org.limpetdoor.core.config;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ZoneId;

/**
 * One endpoint of a plain service.
 *
 * @param id the identifier
 * @param zone zone that it runs in
 * @param address address as {@code ip:port}
 * @param slots calls that it runs at once, at least 1
 */
public record ServiceEndpoint(BackendId id, ZoneId zone, String address, int slots)
    implements Backend {
  /** Checks ranges. */
  public ServiceEndpoint {
    Ranges.atLeast("slots", slots, 1);
  }
}
