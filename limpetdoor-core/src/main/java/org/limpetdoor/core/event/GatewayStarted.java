package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.GatewaySettings;

/**
 * A gateway, an instance that forwards calls by route, has started.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param settings settings of the gateway
 */
public record GatewayStarted(long atMs, GatewaySettings settings) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.GATEWAY_STARTED;
  }
}
