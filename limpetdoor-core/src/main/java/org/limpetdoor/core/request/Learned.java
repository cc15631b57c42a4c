package org.limpetdoor.core.request;

import org.limpetdoor.core.NodeState;

/**
 * What request decisions use beside the requests themselves.
 *
 * @param share part of each limit that this instance may use
 * @param index back ends by upstream
 * @param adapterLoads adapter loads in flight
 * @param lengths output lengths of completed requests
 * @param retryBudget retries that may be sent
 */
record Learned(
    LimitShare share,
    RoutingIndex index,
    AdapterLoads adapterLoads,
    Lengths lengths,
    RetryBudget retryBudget) {
  static final Learned INITIAL =
      new Learned(
          LimitShare.WHOLE, RoutingIndex.EMPTY, AdapterLoads.NONE, Lengths.NONE, RetryBudget.FULL);

  /** Returns the state with an index that fits the agreed state. */
  static NodeState refresh(NodeState state) {
    Learned learned = state.requests().learned();
    double part = learned.share.otherwise();
    if (learned.index.fits(state.agreed(), part)) {
      return state;
    }
    RoutingIndex index = learned.index.following(state.self(), state.agreed(), part);
    return learned.withIndex(index).in(state);
  }

  /** Returns the state with this in it. */
  NodeState in(NodeState state) {
    return state.withRequests(state.requests().withLearned(this));
  }

  Learned withShare(LimitShare value) {
    return new Learned(value, index, adapterLoads, lengths, retryBudget);
  }

  Learned withIndex(RoutingIndex value) {
    return new Learned(share, value, adapterLoads, lengths, retryBudget);
  }

  Learned withAdapterLoads(AdapterLoads value) {
    return new Learned(share, index, value, lengths, retryBudget);
  }

  Learned withLengths(Lengths value) {
    return new Learned(share, index, adapterLoads, value, retryBudget);
  }

  Learned withRetryBudget(RetryBudget value) {
    return new Learned(share, index, adapterLoads, lengths, value);
  }
}
