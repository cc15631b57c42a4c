package org.limpetdoor.core.request;

import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
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
  /** Time for which a back end gets no new work after a failure that speaks against it. */
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
    Optional<RefusalReason> unknown = Targets.check(state.configuration(), spec.target());
    if (unknown.isPresent()) {
      return Refusals.refuseArrival(
          state, spec, Optional.of(contract.customer()), Refusal.notRun(unknown.get()));
    }
    return admit(state, spec, contract);
  }

  /** Notes nothing yet: the start of an answer changes no decision. */
  public static Transition<NodeState, Effect> started(NodeState state, AttemptStarted event) {
    return Transition.of(state);
  }

  /** Ends a request whose whole answer was passed on. */
  public static Transition<NodeState, Effect> completed(NodeState state, AttemptCompleted event) {
    Optional<RequestState> request = current(state, event.attempt());
    if (request.isEmpty()) {
      return Transition.of(state);
    }
    BackendId backend = request.get().backendOf(event.attempt()).orElseThrow();
    RequestId id = event.attempt().request();
    NodeState released = Attempts.release(state, backend);
    NodeState without = released.withRequests(released.requests().without(id));
    return Transition.<NodeState, Effect>of(without, new FinishRequest(id)).then(Queues::drain);
  }

  /** Retries a failed attempt elsewhere if the request may be repeated, or refuses the request. */
  public static Transition<NodeState, Effect> failed(NodeState state, AttemptFailed event) {
    Optional<RequestState> request = current(state, event.attempt());
    if (request.isEmpty()) {
      return Transition.of(state);
    }
    BackendId backend = request.get().backendOf(event.attempt()).orElseThrow();
    RequestState ended = request.get().withAttemptFailed(event.failure(), event.deliveredTokens());
    NodeState released = Attempts.release(state, backend);
    NodeState noted = event.failure().backendSuspect() ? avoid(released, backend) : released;
    return retryOrRefuse(noted, ended, event.failure()).then(Queues::drain);
  }

  /** Frees what a request of a caller that has left held. */
  public static Transition<NodeState, Effect> callerDisconnected(
      NodeState state, CallerDisconnected event) {
    Optional<RequestState> found = state.requests().find(event.request());
    if (found.isEmpty()) {
      return Transition.of(state);
    }
    RequestState request = found.get();
    if (!request.running()) {
      NodeState dequeued = Queues.remove(state, request);
      return Transition.of(dequeued.withRequests(dequeued.requests().without(event.request())));
    }
    AttemptId attempt = request.currentAttempt();
    NodeState released = Attempts.release(state, request.backendOf(attempt).orElseThrow());
    NodeState without = released.withRequests(released.requests().without(event.request()));
    return Transition.<NodeState, Effect>of(without, new CancelAttempt(attempt))
        .then(Queues::drain);
  }

  /** Refuses a request that waited until its objective passed. */
  public static Transition<NodeState, Effect> queueDeadline(NodeState state, RequestId id) {
    Optional<RequestState> request = state.requests().find(id);
    if (request.isEmpty() || request.get().running()) {
      return Transition.of(state);
    }
    NodeState dequeued = Queues.remove(state, request.get());
    return Refusals.refuseAccepted(
        dequeued, request.get(), Refusal.notRun(RefusalReason.DEADLINE_PASSED));
  }

  private static Transition<NodeState, Effect> admit(
      NodeState state, RequestSpec spec, Contract contract) {
    CustomerState known = state.requests().customers().get(contract.customer());
    CustomerState customer =
        known == null
            ? CustomerState.initial(contract.arrival(), state.nowMs())
            : known.refilled(contract.arrival(), state.nowMs());
    if (!customer.mayArrive(contract.arrival(), spec.workTokens())) {
      long retryAfterMs = customer.retryAfterMs(contract.arrival(), spec.workTokens());
      Refusal refusal = Refusal.notRun(RefusalReason.RATE_EXCEEDED, retryAfterMs);
      return Refusals.refuseArrival(state, spec, Optional.of(contract.customer()), refusal);
    }
    CustomerState charged = customer.withArrival(spec.workTokens());
    NodeState next =
        state.withRequests(state.requests().withCustomer(contract.customer(), charged));
    RequestState request =
        RequestState.arrived(
            spec, contract.customer(), state.nowMs() + contract.firstTokenObjectiveMs());
    return routeOrQueue(next, request, contract);
  }

  private static Transition<NodeState, Effect> routeOrQueue(
      NodeState state, RequestState request, Contract contract) {
    Router.Choice choice = Router.choose(state, request);
    if (choice.backend().isPresent()) {
      return Attempts.dispatch(state, request, choice);
    }
    if (!choice.worthWaiting()) {
      return Refusals.refuseAccepted(state, request, Refusal.notRun(RefusalReason.NO_BACKEND));
    }
    return Queues.enqueue(state, request, contract);
  }

  private static Transition<NodeState, Effect> retryOrRefuse(
      NodeState state, RequestState request, AttemptFailure failure) {
    boolean mayRepeat =
        Targets.repeatability(state.configuration(), request.spec().target()).mayRepeat();
    if (failure.mayHaveRun() && !mayRepeat) {
      return Refusals.refuseAccepted(
          state, request, Refusal.outcomeUnknown(RefusalReason.BACKEND_FAILED));
    }
    if (failure == AttemptFailure.NOT_SENT) {
      return refuseFailed(state, request, RefusalReason.REQUEST_NOT_SENT);
    }
    Router.Choice choice = Router.choose(state, request);
    if (choice.backend().isPresent()) {
      return Attempts.dispatch(state, request, choice);
    }
    return refuseFailed(state, request, RefusalReason.BACKEND_FAILED);
  }

  /** An earlier attempt may have run although the last one did not. */
  private static Transition<NodeState, Effect> refuseFailed(
      NodeState state, RequestState request, RefusalReason reason) {
    Refusal refusal =
        request.mayHaveRun() ? Refusal.outcomeUnknown(reason) : Refusal.notRun(reason);
    return Refusals.refuseAccepted(state, request, refusal);
  }

  private static NodeState avoid(NodeState state, BackendId backend) {
    long untilMs = state.nowMs() + UNREACHABLE_MS;
    return state.withBackends(
        state.backends().update(backend, b -> b.withUnreachableUntilMs(untilMs)));
  }

  private static Optional<RequestState> current(NodeState state, AttemptId attempt) {
    return state
        .requests()
        .find(attempt.request())
        .filter(request -> request.backendOf(attempt).isPresent());
  }
}
