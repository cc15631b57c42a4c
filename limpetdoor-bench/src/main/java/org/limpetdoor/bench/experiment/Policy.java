package org.limpetdoor.bench.experiment;

import java.util.function.Supplier;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.request.LimitShare;
import org.pcollections.HashTreePMap;

/** Front ends that are compared. */
enum Policy {
  /** Each engine in turn; engines queue first in, first out. */
  ROUND_ROBIN {
    @Override
    Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances) {
      return () -> new BaselineReducer(BackendOrder.ROUND_ROBIN);
    }
  },
  /** The engine with the fewest requests of the instance in flight; queues as round robin. */
  LEAST_OUTSTANDING {
    @Override
    Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances) {
      return () -> new BaselineReducer(BackendOrder.LEAST_OUTSTANDING);
    }
  },
  /** The reducer of limpetdoor, with an equal part of each limit, as a limit epoch starts. */
  LIMPETDOOR {
    @Override
    Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances) {
      LimitShare equal = new LimitShare(HashTreePMap.empty(), 1.0 / instances);
      return () -> {
        NodeReducer reducer = new NodeReducer();
        return (state, event) ->
            reducer.reduce(state.withRequests(state.requests().withLimitShare(equal)), event);
      };
    }
  };

  /** Makes the reducers of the instances. */
  abstract Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances);

  /** Returns the name in tables. */
  String label() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }
}
