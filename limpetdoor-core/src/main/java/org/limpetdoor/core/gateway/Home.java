package org.limpetdoor.core.gateway;

import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;

/**
 * The order in which an instance prefers engines that are equal otherwise. Instances begin at
 * different engines, so that prompts of several instances do not meet at one engine.
 *
 * @param order identifiers of the engines, sorted
 * @param start index of the first one for this instance
 */
record Home(List<BackendId> order, int start) {
  /** Returns the order of this instance. Instances that hear each other agree without a message. */
  static Home of(NodeState node, List<EngineState> engines) {
    List<BackendId> order = engines.stream().map(engine -> engine.entry().id()).sorted().toList();
    InstanceId self = node.self().id();
    int rank = 0;
    for (var peer : node.gateway().peers().entrySet()) {
      boolean before = peer.getKey().compareTo(self) < 0;
      rank += before && peer.getValue().usable(node.nowMs()) ? 1 : 0;
    }
    return new Home(order, rank % order.size());
  }

  /** Returns how far an engine is from the first one, from 0 to 1. */
  double distance(EngineState engine) {
    int index = order.indexOf(engine.entry().id());
    return (double) Math.floorMod(index - start, order.size()) / order.size();
  }
}
