package org.limpetdoor.standin.instances;

import org.limpetdoor.standin.Standin;
import org.limpetdoor.standin.effect.Connections;

/** Stand-in of the instance list. */
public final class InstancesStandin extends Standin<InstancesState> {
  /** Creates the stand-in and starts its control loop. */
  public InstancesStandin(InstancesSettings settings, Connections connections) {
    super("instances", InstancesState.initial(settings), connections);
  }
}
