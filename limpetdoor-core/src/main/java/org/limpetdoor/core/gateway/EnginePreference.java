package org.limpetdoor.core.gateway;

import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;

/**
 * The order in which an instance prefers engines with otherwise equal scores. All instances use the
 * same cyclic order but start at different engines, so that their prompts do not arrive at the same
 * engine together.
 *
 * @param order engine identifiers in ascending order
 * @param firstIndex index of the most preferred engine of this instance
 */
record EnginePreference(List<BackendId> order, int firstIndex) {
  /**
   * Returns the preference order of this instance. The first index is the number of listed
   * instances with a lower identifier, modulo the number of engines, so instances with the same
   * list pick different starts without further coordination.
   */
  static EnginePreference of(NodeState node, List<EngineState> engines) {
    List<BackendId> order = engines.stream().map(engine -> engine.entry().id()).sorted().toList();
    return new EnginePreference(order, node.membership().layout().position() % order.size());
  }

  /** Returns the distance of an engine from the most preferred one, from 0 to 1 (exclusive). */
  double distanceFromFirst(EngineState engine) {
    int index = order.indexOf(engine.entry().id());
    return (double) Math.floorMod(index - firstIndex, order.size()) / order.size();
  }
}
