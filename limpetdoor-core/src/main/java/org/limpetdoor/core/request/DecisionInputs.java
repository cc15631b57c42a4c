package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;

/**
 * Inputs of request decisions beside the requests themselves: limit shares, indexes, budgets and
 * estimates.
 *
 * @param limitShare share of each limit that this instance may use
 * @param routingIndex back ends of each upstream
 * @param adapterLoads adapter loads in flight
 * @param outputLengths output lengths of completed requests
 * @param retryBudget budget of retries
 * @param paces measured speed of engines
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

  /** Returns the state with a routing index that is up to date with the agreed state. */
  static NodeState refresh(NodeState state) {
    DecisionInputs inputs = state.requests().decisionInputs();
    double fleetShare = inputs.limitShare.otherwise();
    if (inputs.routingIndex.isCurrent(state.agreed(), fleetShare)) {
      return state;
    }
    RoutingIndex index = inputs.routingIndex.updatedFor(state.self(), state.agreed(), fleetShare);
    return inputs.withRoutingIndex(index).applyTo(state);
  }

  /** Returns the given node state with these inputs. */
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
