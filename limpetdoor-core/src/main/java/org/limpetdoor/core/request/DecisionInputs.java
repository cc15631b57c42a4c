package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;

/**
 * What request decisions use beside the requests themselves.
 *
 * @param limitShare part of each limit that this instance may use
 * @param routingIndex back ends by upstream
 * @param adapterLoads adapter loads in flight
 * @param outputLengths output lengths of completed requests
 * @param retryBudget retries that may be sent
 * @param paces how fast engines answer
 */
record DecisionInputs(
    LimitShare limitShare,
    RoutingIndex routingIndex,
    AdapterLoads adapterLoads,
    OutputLengths outputLengths,
    RetryBudget retryBudget,
    Paces paces) {
  static final DecisionInputs INITIAL =
      new DecisionInputs(
          LimitShare.WHOLE,
          RoutingIndex.EMPTY,
          AdapterLoads.NONE,
          OutputLengths.NONE,
          RetryBudget.FULL,
          Paces.NONE);

  /** Returns the state with an index that fits the agreed state. */
  static NodeState refresh(NodeState state) {
    DecisionInputs inputs = state.requests().decisionInputs();
    double fleetShare = inputs.limitShare.otherwise();
    if (inputs.routingIndex.isCurrent(state.agreed(), fleetShare)) {
      return state;
    }
    RoutingIndex index = inputs.routingIndex.updatedFor(state.self(), state.agreed(), fleetShare);
    return inputs.withRoutingIndex(index).applyTo(state);
  }

  /** Returns the state with this in it. */
  NodeState applyTo(NodeState state) {
    return state.withRequests(state.requests().withDecisionInputs(this));
  }

  DecisionInputs withLimitShare(LimitShare value) {
    return new DecisionInputs(value, routingIndex, adapterLoads, outputLengths, retryBudget, paces);
  }

  DecisionInputs withRoutingIndex(RoutingIndex value) {
    return new DecisionInputs(limitShare, value, adapterLoads, outputLengths, retryBudget, paces);
  }

  DecisionInputs withAdapterLoads(AdapterLoads value) {
    return new DecisionInputs(limitShare, routingIndex, value, outputLengths, retryBudget, paces);
  }

  DecisionInputs withOutputLengths(OutputLengths value) {
    return new DecisionInputs(limitShare, routingIndex, adapterLoads, value, retryBudget, paces);
  }

  DecisionInputs withRetryBudget(RetryBudget value) {
    return new DecisionInputs(limitShare, routingIndex, adapterLoads, outputLengths, value, paces);
  }

  DecisionInputs withPaces(Paces value) {
    return new DecisionInputs(
        limitShare, routingIndex, adapterLoads, outputLengths, retryBudget, value);
  }
}
