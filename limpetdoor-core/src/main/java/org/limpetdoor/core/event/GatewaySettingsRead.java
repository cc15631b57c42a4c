package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.GatewaySettings;

/**
 * The settings of the gateway were reloaded.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param settings the settings
 */
public record GatewaySettingsRead(long atMs, GatewaySettings settings) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.GATEWAY_SETTINGS_READ;
  }
}
