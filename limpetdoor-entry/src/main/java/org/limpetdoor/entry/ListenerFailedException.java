package org.limpetdoor.entry;

import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.SourceLocation;
import org.limpetdoor.format.json.HostPort;

/** Thrown if a server cannot listen on its address, for example because it is in use. */
public final class ListenerFailedException extends LimpetdoorException {
  private static final long serialVersionUID = 1L;

  ListenerFailedException(String role, HostPort address, RuntimeException cause) {
    super("cannot listen for " + role + "s", new SourceLocation(address.toString(), 0, 0), cause);
  }
}
