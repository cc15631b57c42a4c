package org.limpetdoor.standin.instances;

import java.util.List;
import org.limpetdoor.standin.ListenAddress;
import org.limpetdoor.standin.StandinRole;
import org.limpetdoor.standin.StandinSettings;

/**
 * Settings of the instance list.
 *
 * @param address listen address
 * @param lagMs delay until a change becomes visible, in milliseconds, at least 0
 * @param instances the initial list; empty if absent
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
