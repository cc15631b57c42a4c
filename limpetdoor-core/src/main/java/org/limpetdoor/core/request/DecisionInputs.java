package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;

/**
 * What request decisions use beside the requests themselves.
 *
 * @param limitShare part of each limit that this instance may use
 * @param routingIndex back ends by upstream
 * @param adapterLoads adapter loads in flight
 * @param lengths output lengths of completed requests
 * @param retryBudget retries that may be sent
 * @param paces how fast engines answer
 */
record DecisionInputs(
    LimitShare limitShare,
    RoutingIndex routingIndex,
    AdapterLoads adapterLoads,
    Lengths lengths,
    RetryBudget retryBudget,
    Paces paces) {
  static final DecisionInputs INITIAL =
      new DecisionInputs(
          LimitShare.WHOLE,
          RoutingIndex.EMPTY,
          AdapterLoads.NONE,
          Lengths.NONE,
          RetryBudget.FULL,
          Paces.NONE);

  /** Returns the state with an index that fits the agreed state. */
  static NodeState refresh(NodeState state) {
    DecisionInputs inputs = state.requests().decisionInputs();
    double part = inputs.limitShare.otherwise();
    if (inputs.routingIndex.fits(state.agreed(), part)) {
      return state;
    }
    RoutingIndex index = inputs.routingIndex.following(state.self(), state.agreed(), part);
    return inputs.withRoutingIndex(index).applyTo(state);
  }

  /** Returns the state with this in it. */
  NodeState applyTo(NodeState state) {
    return state.withRequests(state.requests().withDecisionInputs(this));
  }

  DecisionInputs withLimitShare(LimitShare value) {
    return new DecisionInputs(value, routingIndex, adapterLoads, lengths, retryBudget, paces);
  }

  DecisionInputs withRoutingIndex(RoutingIndex value) {
    return new DecisionInputs(limitShare, value, adapterLoads, lengths, retryBudget, paces);
  }

  DecisionInputs withAdapterLoads(AdapterLoads value) {
    return new DecisionInputs(limitShare, routingIndex, value, lengths, retryBudget, paces);
  }

  DecisionInputs withLengths(Lengths value) {
    return new DecisionInputs(limitShare, routingIndex, adapterLoads, value, retryBudget, paces);
  }

  DecisionInputs withRetryBudget(RetryBudget value) {
    return new DecisionInputs(limitShare, routingIndex, adapterLoads, lengths, value, paces);
  }

  DecisionInputs withPaces(Paces value) {
    return new DecisionInputs(limitShare, routingIndex, adapterLoads, lengths, retryBudget, value);
  }
}
