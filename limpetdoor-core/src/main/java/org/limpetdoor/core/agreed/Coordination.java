package org.limpetdoor.core.agreed;

import org.limpetdoor.core.placement.LeaseTracker;
import org.limpetdoor.core.placement.OrderTracker;
import org.limpetdoor.core.placement.PlannerState;

/**
 * State of this instance's own part in the agreement. It is not shared with other instances.
 *
 * @param outbox records to append to the log
 * @param reader progress of reading the log
 * @param leases when records of each lease were last received
 * @param orders progress of orders to engines
 * @param planner state of the planner between ticks
 */
public record Coordination(
    Outbox outbox,
    LogReader reader,
    LeaseTracker leases,
    OrderTracker orders,
    PlannerState planner) {
  /** The state of an instance that has just started. */
  public static final Coordination INITIAL =
      new Coordination(
          Outbox.EMPTY,
          LogReader.INITIAL,
          LeaseTracker.INITIAL,
          OrderTracker.EMPTY,
          PlannerState.INITIAL);

  /** Returns a copy with another outbox. */
  public Coordination withOutbox(Outbox value) {
    return new Coordination(value, reader, leases, orders, planner);
  }

  /** Returns a copy with another reader. */
  public Coordination withReader(LogReader value) {
    return new Coordination(outbox, value, leases, orders, planner);
  }

  /** Returns a copy with other tracking of leases. */
  public Coordination withLeases(LeaseTracker value) {
    return new Coordination(outbox, reader, value, orders, planner);
  }

  /** Returns a copy with other tracking of orders. */
  public Coordination withOrders(OrderTracker value) {
    return new Coordination(outbox, reader, leases, value, planner);
  }

  /** Returns a copy with another state of the planner. */
  public Coordination withPlanner(PlannerState value) {
    return new Coordination(outbox, reader, leases, orders, value);
  }
}
