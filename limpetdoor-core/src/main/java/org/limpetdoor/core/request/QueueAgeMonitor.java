package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.decision.QueueAgeAlarm;
import org.limpetdoor.core.decision.QueueAgeAlarm.Cause;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RaiseQueueAgeAlarm;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.id.CustomerId;

/** Raises alarms by the age of the oldest waiting request of each customer. */
final class QueueAgeMonitor {
  /** Interval of checks, by which a queue that keeps growing is reported within 4 s. */
  private static final long CHECK_INTERVAL_MS = 1_000;

  private static final String CHECK_KEY = "all";

  private QueueAgeMonitor() {}

  /**
   * Schedules a check if exactly one customer has waiting requests; with more, one is already
   * scheduled.
   */
  static NodeState schedule(NodeState state) {
    return state.requests().waitingCustomers().size() == 1 ? scheduleCheck(state) : state;
  }

  /** Checks all customers with waiting requests, and schedules the next check if there are any. */
  static Transition<NodeState, Effect> checkAll(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (CustomerId customer : state.requests().waitingCustomers()) {
      result = result.then(next -> checkCustomer(next, customer));
    }
    return result.then(next -> Transition.of(scheduleCheck(next)));
  }

  /** Raises an alarm for a request that is still queued when its objective passes. */
  static Transition<NodeState, Effect> objectiveExceeded(NodeState state, RequestState request) {
    CustomerState customer = state.requests().customers().get(request.customer());
    long ageMs = state.nowMs() - request.queueEntry().arrivedAtMs();
    return raiseAlarm(state, request.customer(), customer, ageMs, Cause.OBJECTIVE_EXCEEDED);
  }

  private static NodeState scheduleCheck(NodeState state) {
    if (state.requests().waitingCustomers().isEmpty()) {
      return state;
    }
    long dueMs = (state.nowMs() / CHECK_INTERVAL_MS + 1) * CHECK_INTERVAL_MS;
    Timer timer = new Timer(dueMs, TimerKind.QUEUE_AGE_CHECK, CHECK_KEY);
    return state.withTimers(state.timers().plus(timer));
  }

  private static Transition<NodeState, Effect> checkCustomer(NodeState state, CustomerId id) {
    CustomerState previous = state.requests().customers().get(id);
    if (previous.waiting().isEmpty()) {
      return Transition.of(state);
    }
    long ageMs = state.nowMs() - previous.waiting().first().arrivedAtMs();
    CustomerState customer = previous.withTrend(previous.trend().withAge(ageMs));
    NodeState next = state.withRequests(state.requests().withCustomer(id, customer));
    return customer.trend().isRising()
        ? raiseAlarm(next, id, customer, ageMs, Cause.KEEPS_RISING)
        : Transition.of(next);
  }

  private static Transition<NodeState, Effect> raiseAlarm(
      NodeState state, CustomerId id, CustomerState customer, long ageMs, Cause cause) {
    if (customer.trend().isMuted(state.nowMs())) {
      return Transition.of(state);
    }
    CustomerState muted = customer.withTrend(customer.trend().withAlarmAt(state.nowMs()));
    int objectiveMs =
        Optional.ofNullable(state.configuration().contracts().get(id))
            .map(Contract::firstTokenObjectiveMs)
            .orElse(0);
    QueueAgeAlarm alarm =
        new QueueAgeAlarm(
            id, cause, ageMs, objectiveMs, customer.waiting().size(), customer.queuedTokens());
    NodeState next = state.withRequests(state.requests().withCustomer(id, muted));
    return Transition.<NodeState, Effect>of(next, new RecordDecision(alarm))
        .with(new RaiseQueueAgeAlarm(alarm));
  }
}
