package org.limpetdoor.core.config;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ZoneId;

/**
 * One endpoint of a plain service.
 *
 * @param id the identifier
 * @param zone zone that the endpoint runs in
 * @param address address as {@code ip:port}
 * @param slots number of calls that it runs concurrently, at least 1
 */
public record ServiceEndpoint(BackendId id, ZoneId zone, String address, int slots)
    implements Backend {
  /** Checks ranges. */
  public ServiceEndpoint {
    Ranges.atLeast("slots", slots, 1);
  }
}
