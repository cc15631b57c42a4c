package org.limpetdoor.standin.service;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Running plain service. */
public final class ServiceStandin extends Standin<ServiceState> {
  /** Starts the control loop. */
  public ServiceStandin(ServiceSettings settings, Connections connections) {
    super("service", ServiceState.initial(settings), connections);
  }
}
