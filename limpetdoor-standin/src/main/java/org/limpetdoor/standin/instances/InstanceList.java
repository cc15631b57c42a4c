package org.limpetdoor.standin.instances;

import java.util.List;

/**
 * Body of {@code GET /instances} and {@code PUT /instances}.
 *
 * @param instances the instances
 */
public record InstanceList(List<ListedInstance> instances) {
  /** Copies the list. */
  public InstanceList {
    if (instances == null) {
      throw new IllegalArgumentException("instances is required");
    }
    instances = List.copyOf(instances);
  }
}
