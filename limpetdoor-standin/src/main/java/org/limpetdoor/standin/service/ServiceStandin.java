package org.limpetdoor.standin.service;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Stand-in of a plain service. */
public final class ServiceStandin extends Standin<ServiceState> {
  /** Creates the stand-in and starts its control loop. */
  public ServiceStandin(ServiceSettings settings, Connections connections) {
    super("service", ServiceState.initial(settings), connections);
  }
}
