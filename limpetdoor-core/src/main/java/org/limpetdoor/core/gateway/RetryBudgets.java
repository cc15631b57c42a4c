package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.request.RetryBudget;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Divides the retry budget of the deployment among its instances without a message per request.
 * Each instance earns retries as a ratio of its own requests and may accumulate retries up to its
 * share of the retry slack of the deployment.
 */
final class RetryBudgets {
  /**
   * Lower bound on the number of instances. Some instances may not have been discovered yet or may
   * just have been replaced.
   */
  private static final int MIN_INSTANCES = 8;

  /** Allowance for instances that are added or restarted within one window, as a factor. */
  private static final double SPARE_INSTANCE_FACTOR = 1.5;

  private RetryBudgets() {}

  /**
   * Returns the budget at the start of a process. It is empty, because the previous process of this
   * instance may have spent its retries in the same window.
   */
  static RetryBudget empty(NodeState node) {
    return new RetryBudget(0, maxAvailable(node), node.gateway().settings().retryRatio());
  }

  /** Adjusts the upper bound of each budget to the current number of instances. */
  static NodeState resize(NodeState node) {
    GatewayState state = node.gateway();
    PMap<String, RetryBudget> resized = HashTreePMap.empty();
    for (var entry : state.budgets().entrySet()) {
      resized = resized.plus(entry.getKey(), entry.getValue().withMaxAvailable(maxAvailable(node)));
    }
    return node.withGateway(state.withBudgets(resized));
  }

  /**
   * Returns the largest number of retries that this instance may accumulate for a service. In a
   * large deployment an instance receives digests from a few peers only, so the number of listed
   * instances is taken into account as well.
   */
  private static double maxAvailable(NodeState node) {
    double slack = node.gateway().settings().retrySlack();
    return slack / Math.max(MIN_INSTANCES, instances(node) * SPARE_INSTANCE_FACTOR);
  }

  /** Returns the number of instances that are listed or in contact, including this one. */
  static int instances(NodeState node) {
    int contacted = node.gateway().peers().byPeer().size() + 1;
    return Math.max(contacted, node.membership().members().size());
  }
}
