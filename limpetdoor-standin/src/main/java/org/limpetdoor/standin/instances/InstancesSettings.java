package org.limpetdoor.standin.instances;

import java.util.List;
import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of the instance list.
 *
 * @param address where it listens
 * @param lagMs how long a change stays invisible, in milliseconds, at least 0
 * @param instances the first list; empty if absent
 */
public record InstancesSettings(ListenAddress address, long lagMs, List<ListedInstance> instances)
    implements StandinSettings {
  /** Checks the ranges. */
  public InstancesSettings {
    if (address == null || lagMs < 0) {
      throw new IllegalArgumentException("address is required; lagMs must be at least 0");
    }
    instances = instances == null ? List.of() : List.copyOf(instances);
  }

  @Override
  public StandinRole role() {
    return StandinRole.INSTANCES;
  }
}
