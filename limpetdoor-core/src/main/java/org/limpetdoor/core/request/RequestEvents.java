package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.backend.BackendEvents;
import org.limpetdoor.core.config.Contract;
import org.limpetdoor.core.effect.CancelAttempt;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.FinishRequest;
import org.limpetdoor.core.event.AttemptCompleted;
import org.limpetdoor.core.event.AttemptFailed;
import org.limpetdoor.core.event.AttemptStarted;
import org.limpetdoor.core.event.CallerDisconnected;
import org.limpetdoor.core.event.RequestArrived;
import org.limpetdoor.core.id.AttemptId;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.RequestId;

/** Reduces events of requests and their attempts. */
public final class RequestEvents {
  /** Time for which a back end gets no new work after a failure that indicates a fault. */
  private static final long UNREACHABLE_MS = 1_000;

  private RequestEvents() {}

  /** Admits, queues or refuses a request. */
  public static Transition<NodeState, Effect> arrived(NodeState state, RequestArrived event) {
    RequestSpec spec = event.spec();
    Optional<Contract> found = state.configuration().contractOf(spec.key());
    if (state.draining()) {
      return Refusals.refuseArrival(
          state, spec, found.map(Contract::customer), Refusal.notRun(RefusalReason.SHUTTING_DOWN));
    }
    if (found.isEmpty()) {
      return Refusals.refuseArrival(
          state, spec, Optional.empty(), Refusal.notRun(RefusalReason.UNKNOWN_KEY));
    }
    Contract contract = found.get();
    Optional<RefusalReason> unknown = Targets.refusalReason(state.configuration(), spec.target());
    if (unknown.isPresent()) {
      return Refusals.refuseArrival(
          state, spec, Optional.of(contract.customer()), Refusal.notRun(unknown.get()));
    }
    return Admission.admit(DecisionInputs.refresh(state), spec, contract);
  }

  /** Records the first byte of a response. */
  public static Transition<NodeState, Effect> started(NodeState state, AttemptStarted event) {
    Optional<RequestAttempt> found = findActive(state, event.attempt());
    if (found.isEmpty()) {
      return Transition.of(state);
    }
    ActiveAttempt attempt = found.get().attempt();
    if (attempt.started()) {
      return Transition.of(state);
    }
    NodeState withPace = Paces.recordFirstToken(state, found.get().request(), attempt);
    RequestState request = found.get().request().withStarted(attempt, state.nowMs());
    NodeState answered = BackendEvents.answered(withPace, attempt.backend(), attempt.sentAtMs());
    NodeState next = answered.withRequests(answered.requests().with(request));
    return Attempts.adapterLoadEnded(next, event.attempt());
  }

  /** Ends a request whose response was forwarded completely. */
  public static Transition<NodeState, Effect> completed(NodeState state, AttemptCompleted event) {
    Optional<RequestAttempt> found = findActive(state, event.attempt());
    if (found.isEmpty()) {
      return Transition.of(state);
    }
    RequestState request = found.get().request();
    ActiveAttempt attempt = found.get().attempt();
    RequestId id = event.attempt().request();
    NodeState answered = BackendEvents.answered(state, attempt.backend(), attempt.sentAtMs());
    NodeState cleared = Quarantine.recordCompletion(answered, request);
    NodeState released = Attempts.releaseSlot(DecisionInputs.refresh(cleared), request, attempt);
    NodeState measured =
        Attempts.recordServiceTime(released, request, attempt, event.outputTokens());
    NodeState removed = measured.withRequests(measured.requests().without(id));
    return Transition.<NodeState, Effect>of(removed, new FinishRequest(id))
        .then(next -> Attempts.adapterLoadEnded(next, event.attempt()))
        .then(next -> Queues.drain(next, attempt.backend()));
  }

  /** Retries a failed attempt elsewhere if the request may be repeated, or refuses the request. */
  public static Transition<NodeState, Effect> failed(NodeState state, AttemptFailed event) {
    Optional<RequestAttempt> found = findActive(state, event.attempt());
    if (found.isEmpty()) {
      return Transition.of(state);
    }
    ActiveAttempt attempt = found.get().attempt();
    BackendId backend = attempt.backend();
    RequestState ended =
        found.get().request().withAttemptEnded(attempt, event.failure(), event.deliveredTokens());
    NodeState crashRecorded =
        event.failure() == AttemptFailure.CONNECTION_LOST
            ? Quarantine.recordLostConnection(state, ended, attempt)
            : state;
    NodeState released =
        Attempts.releaseSlot(DecisionInputs.refresh(crashRecorded), ended, attempt);
    NodeState recorded = recordFailure(released, backend, event.failure());
    return Retries.retryOrRefuse(recorded, ended, event.failure())
        .then(next -> Attempts.adapterLoadEnded(next, event.attempt()))
        .then(next -> Queues.drain(next, backend));
  }

  /**
   * Removes the request of a caller that has disconnected, and releases its slots or its place in
   * the queue.
   */
  public static Transition<NodeState, Effect> callerDisconnected(
      NodeState state, CallerDisconnected event) {
    Optional<RequestState> found = state.requests().find(event.request());
    if (found.isEmpty()) {
      return Transition.of(state);
    }
    RequestState request = found.get();
    NodeState refreshed = DecisionInputs.refresh(state);
    NodeState removed = refreshed.withRequests(refreshed.requests().without(event.request()));
    if (!request.running()) {
      return Transition.of(Queues.remove(removed, request));
    }
    Transition<NodeState, Effect> result = Transition.of(removed);
    for (ActiveAttempt attempt : request.activeAttempts()) {
      result = result.then(next -> cancel(next, request, attempt));
    }
    return result;
  }

  /** Refuses a request that is still queued at its start deadline. */
  public static Transition<NodeState, Effect> queueDeadline(NodeState state, RequestId id) {
    Optional<RequestState> request = state.requests().find(id);
    if (request.isEmpty() || request.get().running()) {
      return Transition.of(state);
    }
    return QueueAgeMonitor.objectiveExceeded(state, request.get())
        .then(
            next ->
                Refusals.refuseAccepted(
                    Queues.remove(next, request.get()),
                    request.get(),
                    request.get().refusal(RefusalReason.DEADLINE_PASSED)));
  }

  /** Refuses all open requests, because the instance ends. */
  public static Transition<NodeState, Effect> endAll(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (RequestState request : state.requests().byId().values()) {
      result = result.then(next -> end(next, request));
    }
    return result;
  }

  private static Transition<NodeState, Effect> end(NodeState state, RequestState request) {
    if (!request.running()) {
      return Refusals.refuseAccepted(
          Queues.remove(state, request), request, request.refusal(RefusalReason.SHUTTING_DOWN));
    }
    Transition<NodeState, Effect> result =
        Refusals.refuseAccepted(
            state, request, Refusal.outcomeUnknown(RefusalReason.INTERRUPTED_BY_SHUTDOWN));
    for (ActiveAttempt attempt : request.activeAttempts()) {
      result = result.with(new CancelAttempt(new AttemptId(request.spec().id(), attempt.number())));
    }
    return result;
  }

  /** Updates the routing index to the configuration and the replicas of the agreed state. */
  public static NodeState agreedStateChanged(NodeState state) {
    return DecisionInputs.refresh(state);
  }

  /**
   * Checks the ages of all queues, and dispatches requests that a change of configuration has made
   * eligible.
   */
  public static Transition<NodeState, Effect> queueAgeCheck(NodeState state) {
    Transition<NodeState, Effect> result = QueueAgeMonitor.checkAll(DecisionInputs.refresh(state));
    for (UpstreamId upstream : result.state().requests().waitingUpstreams()) {
      result = result.then(next -> Queues.drain(next, upstream));
    }
    return result;
  }

  /** Dispatches waiting requests to a back end that may have become reachable again. */
  public static Transition<NodeState, Effect> backendRetry(NodeState state, BackendId backend) {
    return Queues.drain(DecisionInputs.refresh(state), backend);
  }

  /** Moves an attempt that has run as long as long work does to the long work class. */
  public static Transition<NodeState, Effect> longWorkReached(NodeState state, String key) {
    return Demotion.demoteIfActive(state, key);
  }

  private static Transition<NodeState, Effect> cancel(
      NodeState state, RequestState request, ActiveAttempt attempt) {
    NodeState released = Attempts.releaseSlot(state, request, attempt);
    AttemptId id = new AttemptId(request.spec().id(), attempt.number());
    return Transition.<NodeState, Effect>of(released, new CancelAttempt(id))
        .then(next -> Attempts.adapterLoadEnded(next, id))
        .then(next -> Queues.drain(next, attempt.backend()));
  }

  private static NodeState recordFailure(
      NodeState state, BackendId backend, AttemptFailure failure) {
    if (failure == AttemptFailure.NOT_STARTED) {
      return BackendEvents.refused(state, backend);
    }
    return failure.indicatesBackendFault() ? markUnreachable(state, backend) : state;
  }

  private static NodeState markUnreachable(NodeState state, BackendId backend) {
    long untilMs = state.nowMs() + UNREACHABLE_MS;
    Timer retry = new Timer(untilMs, TimerKind.BACKEND_RETRY, backend.value());
    return state
        .withBackends(
            state
                .backends()
                .update(backend, b -> b.withUnreachableUntilMs(untilMs).withoutAdapters()))
        .withTimers(state.timers().plus(retry));
  }

  private record RequestAttempt(RequestState request, ActiveAttempt attempt) {}

  private static Optional<RequestAttempt> findActive(NodeState state, AttemptId id) {
    return state
        .requests()
        .find(id.request())
        .flatMap(
            request ->
                request.activeAttempt(id).map(attempt -> new RequestAttempt(request, attempt)));
  }
}
