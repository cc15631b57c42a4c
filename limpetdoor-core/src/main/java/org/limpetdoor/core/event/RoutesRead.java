package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.RouteTable;

/**
 * A version of the configuration of routes was read, from the store or a peer.
 *
 * @param atMs when, in monotonic milliseconds
 * @param table the version
 * @param source where it came from
 */
public record RoutesRead(long atMs, RouteTable table, Source source) implements Event {
  /** Where a version came from. */
  public enum Source {
    /** The platform's store. */
    STORE,
    /** Another instance. */
    PEER
  }

  @Override
  public EventKind kind() {
    return EventKind.ROUTES_READ;
  }
}
