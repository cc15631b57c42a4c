package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.request.RetryBudget;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Splits the retry budget of the deployment over its instances, without a message for each request:
 * each one adds the ratio of its own requests, and may save up its part of the fixed sum.
 */
final class Budgets {
  /** Instances assumed at least, as some may not be known yet or may have just been replaced. */
  private static final int MIN_INSTANCES = 8;

  /** Instances that may be added or restarted within one window, for each one that is known. */
  private static final double SPARE_FACTOR = 1.5;

  private Budgets() {}

  /**
   * Returns the budget at the start of a process. It has no savings, because the process before it
   * may have spent them in the same window.
   */
  static RetryBudget empty(NodeState node) {
    return new RetryBudget(0, part(node), node.gateway().settings().retryRatio());
  }

  /** Returns the state with the budgets that fit the number of instances. */
  static NodeState resize(NodeState node) {
    GatewayState state = node.gateway();
    PMap<String, RetryBudget> resized = HashTreePMap.empty();
    for (var entry : state.budgets().entrySet()) {
      resized = resized.plus(entry.getKey(), entry.getValue().withMaxAvailable(part(node)));
    }
    return node.withGateway(state.withBudgets(resized));
  }

  /** In a large fleet an instance hears of a few others only, so the listed ones count too. */
  private static double part(NodeState node) {
    int hasRecentDigest = node.gateway().peers().size() + 1;
    int instances = Math.max(hasRecentDigest, node.membership().members().size());
    double slack = node.gateway().settings().retrySlack();
    return slack / Math.max(MIN_INSTANCES, instances * SPARE_FACTOR);
  }
}
