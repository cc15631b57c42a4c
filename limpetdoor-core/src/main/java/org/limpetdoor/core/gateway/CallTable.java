package org.limpetdoor.core.gateway;

import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.TreePSet;

/**
 * The open calls.
 *
 * @param open open calls by number
 * @param waiting numbers of the calls that wait for an engine
 */
record CallTable(PMap<Long, Call> open, TreePSet<Long> waiting) {
  static final CallTable EMPTY = new CallTable(HashTreePMap.empty(), TreePSet.empty());

  CallTable with(Call call) {
    return new CallTable(open.plus(call.spec().id(), call), waiting);
  }

  CallTable without(long id) {
    return new CallTable(open.minus(id), waiting.minus(id));
  }

  CallTable withWaiting(long id) {
    return new CallTable(open, waiting.plus(id));
  }

  CallTable withoutWaiting(long id) {
    return new CallTable(open, waiting.minus(id));
  }

  /** Returns how long the oldest waiting call has waited, in milliseconds; 0 if none waits. */
  long oldestWaitMs(long nowMs) {
    return waiting.isEmpty() ? 0 : nowMs - open.get(waiting.first()).arrivedAtMs();
  }
}
