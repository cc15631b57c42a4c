package org.limpetdoor.core.placement;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;

/** Phase in the settlement of an order, with the step that the lease holder takes on each tick. */
public enum OrderPhase {
  /** The order was sent and is not answered. */
  SENT(OrderSteps::awaitAnswer),
  /** A higher fencing number was sent, so that copies of the order are refused. */
  FENCING(OrderSteps::repeatFence),
  /** The engine ignores fencing numbers; the longest order delay has to pass first. */
  AWAITING_EXPIRY(OrderSteps::awaitOrderExpiry),
  /** No copy of the order can take effect any more; the inventory decides its outcome. */
  AWAITING_INVENTORY(OrderSteps::repeatInventoryRequest),
  /** The result was submitted to the log. */
  SETTLING(OrderSteps::awaitRecord);

  private final Step onTick;

  OrderPhase(Step onTick) {
    this.onTick = onTick;
  }

  Transition<NodeState, Effect> tick(NodeState state, UnsettledOrder order) {
    return onTick.apply(state, order);
  }

  private interface Step {
    Transition<NodeState, Effect> apply(NodeState state, UnsettledOrder order);
  }
}
