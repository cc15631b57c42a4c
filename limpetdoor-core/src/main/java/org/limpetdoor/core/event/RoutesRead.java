package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.RouteTable;

/**
 * A version of the route configuration was read from the store or a peer.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param table the routes
 * @param source source of the version
 */
public record RoutesRead(long atMs, RouteTable table, Source source) implements Event {
  /** Sources of route configurations. */
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
