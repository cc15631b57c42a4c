package org.limpetdoor.core.request;

import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.config.Backend;

/** Chooses the back ends that one instance uses for one upstream. */
final class Subset {
  private Subset() {}

  /** Returns the back ends in a fixed order. */
  static List<Backend> choose(NodeState.Self self, List<Backend> backends, double fleetPart) {
    return backends.stream().sorted(Comparator.comparing(Backend::id)).toList();
  }
}
