package org.limpetdoor.core.gateway;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;

/**
 * The order in which an instance prefers engines with otherwise equal scores. All instances use the
 * same cyclic order but start at different engines, so that their prompts do not arrive at the same
 * engine together.
 *
 * @param indexes index of each engine in ascending order of identifiers
 * @param firstIndex index of the most preferred engine of this instance
 */
record EnginePreference(Map<BackendId, Integer> indexes, int firstIndex) {
  /**
   * Returns the preference order of this instance. The first index is the number of listed
   * instances with a lower identifier, modulo the number of engines, so instances with the same
   * list pick different starts without further coordination.
   */
  static EnginePreference of(NodeState node, List<EngineState> engines) {
    List<BackendId> order = engines.stream().map(engine -> engine.entry().id()).sorted().toList();
    Map<BackendId, Integer> indexes = new HashMap<>();
    for (int i = 0; i < order.size(); i++) {
      indexes.put(order.get(i), i);
    }
    return new EnginePreference(
        Collections.unmodifiableMap(indexes), node.membership().layout().position() % order.size());
  }

  /** Returns the distance of an engine from the most preferred one, from 0 to 1 (exclusive). */
  double distanceFromFirst(EngineState engine) {
    int index = indexes.get(engine.entry().id());
    return (double) Math.floorMod(index - firstIndex, indexes.size()) / indexes.size();
  }
}
