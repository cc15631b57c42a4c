package org.limpetdoor.bench.experiment;

import java.util.function.Supplier;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.request.LimitShare;
import org.pcollections.HashTreePMap;

/** The front ends that are compared. */
enum Policy {
  /** Selects the engines in turn; engines queue requests in order of arrival. */
  ROUND_ROBIN {
    @Override
    Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances) {
      return () -> new BaselineReducer(BaselineEngineSelector.ROUND_ROBIN);
    }
  },
  /**
   * Selects the engine with the fewest in-flight requests of the instance; engines queue requests
   * in order of arrival.
   */
  LEAST_OUTSTANDING {
    @Override
    Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances) {
      return () -> new BaselineReducer(BaselineEngineSelector.LEAST_OUTSTANDING);
    }
  },
  /** The reducer of limpetdoor, with the equal limit shares that a limit epoch starts with. */
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

  /** Returns a supplier of one reducer for each instance. */
  abstract Supplier<Reducer<NodeState, Event, Effect>> reducers(int instances);

  /** Returns the name in tables. */
  String label() {
    return name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ');
  }
}
