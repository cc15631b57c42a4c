package org.limpetdoor.core.gateway;

import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;

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
   * Returns the preference order of this instance. The first index is the number of peers with a
   * recent digest and a lower identifier, modulo the number of engines, so instances that exchange
   * digests pick different starts without further coordination.
   */
  static EnginePreference of(NodeState node, List<EngineState> engines) {
    List<BackendId> order = engines.stream().map(engine -> engine.entry().id()).sorted().toList();
    InstanceId self = node.self().id();
    int rank = 0;
    for (var peer : node.gateway().peers().entrySet()) {
      boolean precedes = peer.getKey().compareTo(self) < 0;
      rank += precedes && peer.getValue().isRecent(node.nowMs()) ? 1 : 0;
    }
    return new EnginePreference(order, rank % order.size());
  }

  /** Returns the distance of an engine from the most preferred one, from 0 to 1 (exclusive). */
  double distanceFromFirst(EngineState engine) {
    int index = order.indexOf(engine.entry().id());
    return (double) Math.floorMod(index - firstIndex, order.size()) / order.size();
  }
}
