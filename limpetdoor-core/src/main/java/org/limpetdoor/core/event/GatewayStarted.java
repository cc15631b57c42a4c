package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.GatewaySettings;

/**
 * An instance that forwards calls by route has started.
 *
 * @param atMs when, in monotonic milliseconds
 * @param settings bounds that hold for the life of the process
 */
public record GatewayStarted(long atMs, GatewaySettings settings) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.GATEWAY_STARTED;
  }
}
