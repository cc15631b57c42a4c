package org.limpetdoor.standin.instances;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Running instance list. */
public final class InstancesStandin extends Standin<InstancesState> {
  /** Starts the control loop. */
  public InstancesStandin(InstancesSettings settings, Connections connections) {
    super("instances", InstancesState.initial(settings), connections);
  }
}
