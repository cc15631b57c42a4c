package org.limpetdoor.core.agreed;

import org.limpetdoor.core.placement.LeaseTracker;
import org.limpetdoor.core.placement.OrderTracker;
import org.limpetdoor.core.placement.PlannerState;

/**
 * What this instance keeps for itself to take part in the agreement. Nothing of it is shared.
 *
 * @param outbox records to append
 * @param reader how far the log is read
 * @param leases own view of the silence of leases
 * @param orders orders to engines of own shards
 * @param planner what the planner remembers
 */
public record Coordination(
    Outbox outbox, LogReader reader, LeaseTracker leases, OrderTracker orders, PlannerState planner) {
  /** The state of an instance that has just started. */
  public static final Coordination INITIAL =
      new Coordination(
          Outbox.EMPTY, LogReader.INITIAL, LeaseTracker.INITIAL, OrderTracker.EMPTY, PlannerState.INITIAL);

  /** Returns a copy with another outbox. */
  public Coordination withOutbox(Outbox value) {
    return new Coordination(value, reader, leases, orders, planner);
  }

  /** Returns a copy with another reader. */
  public Coordination withReader(LogReader value) {
    return new Coordination(outbox, value, leases, orders, planner);
  }

  /** Returns a copy with another view of the leases. */
  public Coordination withLeases(LeaseTracker value) {
    return new Coordination(outbox, reader, value, orders, planner);
  }

  /** Returns a copy with other orders. */
  public Coordination withOrders(OrderTracker value) {
    return new Coordination(outbox, reader, leases, value, planner);
  }

  /** Returns a copy with another memory of the planner. */
  public Coordination withPlanner(PlannerState value) {
    return new Coordination(outbox, reader, leases, orders, value);
  }
}
