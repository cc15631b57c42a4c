package org.limpetdoor.core.gateway;

import java.util.Objects;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.CallDecision.SilenceOutcome;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.decision.RequestProgress;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.RelayErrorResponse;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.CallerConnectionClosed;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.gateway.EngineSelector.Choice;
import org.limpetdoor.core.gateway.EngineSelector.Verdict;
import org.limpetdoor.core.gateway.account.Authentication;
import org.limpetdoor.core.request.Rendezvous;

/** Reduces the events of calls that are forwarded by route. */
public final class CallEvents {
  /** Lower bound on the time for which a call may wait for an engine, in milliseconds. */
  private static final long MIN_WAIT_MS = 1_000;

  private CallEvents() {}

  /**
   * Matches a new call against the route table in force. The call is forwarded, queued until an
   * engine is available, or refused.
   */
  public static Transition<NodeState, Effect> arrived(NodeState node, CallArrived event) {
    CallSpec spec = event.spec();
    GatewayState state = node.gateway();
    if (state.table().isEmpty()) {
      return CallSteps.refuseOnArrival(node, spec, Reply.NO_CONFIGURATION);
    }
    if (node.nowMs() >= state.acceptsUntilMs()) {
      return CallSteps.refuseOnArrival(node, spec, Reply.SHUTTING_DOWN);
    }
    RouteTable table = state.table().get();
    Optional<Route> found = table.find(spec.host(), spec.path());
    if (found.isEmpty()) {
      return CallSteps.refuseOnArrival(node, spec, Reply.NO_ROUTE);
    }
    Authentication caller =
        table.accounts().authenticate(spec.credential(), found.get().anonymousAccess());
    if (caller.refused()) {
      return CallSteps.refuseOnArrival(node, spec, Reply.UNAUTHENTICATED);
    }
    Call call = createCall(spec, found.get(), caller, Math.min(node.nowMs(), event.receivedAtMs()));
    if (node.nowMs() >= call.deadlineMs()) {
      return CallSteps.refuseOnArrival(node, spec, Reply.EXPIRED_UNSENT);
    }
    if (state.crashRecords().bannedContent(spec, node.nowMs()).isPresent()) {
      return CallSteps.refuseOnArrival(node, spec, Reply.CRASH_SUSPECT);
    }
    AllowanceSteps.Charge charge = AllowanceSteps.charge(node, call);
    if (charge.refusal().isPresent()) {
      return AllowanceSteps.refuse(charge.node(), call, charge.refusal().get());
    }
    NodeState afterCount = CapacitySharing.recordArrival(CallSteps.countArrival(charge.node(), call), call);
    NodeState afterTimer = afterCount.withTimers(afterCount.timers().plus(call.expiryTimer()));
    boolean refilled =
        !CallSteps.budget(node, call.service()).allowsRetry()
            && CallSteps.budget(afterTimer, call.service()).allowsRetry();
    Transition<NodeState, Effect> served =
        refilled ? WaitingCalls.serve(afterTimer) : Transition.of(afterTimer);
    return served.then(next -> forwardOrWait(next, call));
  }

  /** Records the first event of a streamed response. */
  public static Transition<NodeState, Effect> started(NodeState node, ForwardStarted event) {
    Optional<Call> found = findWithAttempt(node, event.call(), event.attempt());
    if (found.isEmpty()) {
      return Transition.of(node);
    }
    Call call = found.get();
    Attempt attempt = call.activeAttempt().orElseThrow();
    long tookMs = node.nowMs() - attempt.sentAtMs();
    GatewayState state = node.gateway();
    NodeState started =
        node.withGateway(
            state
                .withCall(call.withResponseStarted(node.nowMs()))
                .withEngines(
                    state
                        .engines()
                        .update(
                            attempt.engine(),
                            engine -> CallSteps.recordResponseStarted(engine, call, tookMs))));
    return WaitingCalls.serve(CrashEvents.engineResponded(started, attempt.engine()));
  }

  /**
   * Moves a call to another engine after its engine has been silent for too long. If the call may
   * not be retried or no other engine is available, the attempt continues, because silence alone
   * does not show that the engine has failed.
   */
  public static Transition<NodeState, Effect> silent(NodeState node, ForwardSilent event) {
    Optional<Call> found = findWithAttempt(node, event.call(), event.attempt());
    if (found.isEmpty()) {
      return Transition.of(node);
    }
    Attempt attempt = found.get().activeAttempt().orElseThrow();
    Call call = found.get().withAttemptEnded(ForwardResult.SILENT, false, node.nowMs());
    NodeState noted = CrashEvents.attemptSilent(node, found.get(), attempt);
    if (retryObstacle(noted, call).isPresent()) {
      return Transition.of(
          noted, CallSteps.silenceRecord(node, call, attempt, SilenceOutcome.NO_RETRY));
    }
    NodeState recorded =
        CallSteps.recordResult(
            CallSteps.releaseEngine(noted, call, attempt), call, attempt, ForwardResult.SILENT);
    Choice choice = EngineSelector.choose(recorded, call);
    if (choice.verdict() != Verdict.CHOSEN) {
      SilenceOutcome outcome =
          choice.verdict() == Verdict.RETRY_BUDGET_EMPTY
              ? SilenceOutcome.NO_RETRY
              : SilenceOutcome.NO_OTHER_ENGINE;
      return Transition.of(noted, CallSteps.silenceRecord(node, call, attempt, outcome));
    }
    return Transition.<NodeState, Effect>of(
            recorded, new CancelForward(event.call(), event.attempt()))
        .with(CallSteps.silenceRecord(node, call, attempt, SilenceOutcome.MOVED))
        .then(next -> CallSteps.send(next, call, choice));
  }

  /** Records a change of an engine's pace. */
  public static Transition<NodeState, Effect> paceChanged(NodeState node, EnginePaceChanged event) {
    GatewayState state = node.gateway();
    EnginePace pace = new EnginePace(event.gapMs(), node.nowMs());
    return Transition.of(
        node.withGateway(
            state.withEngines(
                state.engines().update(event.engine(), engine -> engine.withPace(pace)))));
  }

  /** Handles the end of an attempt: the call completes, is retried, or fails. */
  public static Transition<NodeState, Effect> ended(NodeState node, ForwardEnded event) {
    Optional<Call> found = findWithAttempt(node, event.call(), event.attempt());
    if (found.isEmpty()) {
      return Transition.of(node);
    }
    Call before = found.get();
    Attempt attempt = before.activeAttempt().orElseThrow();
    Call call = before.withAttemptEnded(event.result(), event.delivered(), node.nowMs());
    NodeState recorded =
        CallSteps.recordResult(
            CallSteps.releaseEngine(node, before, attempt), call, attempt, event.result());
    NodeState next =
        event.result().responded()
            ? CrashEvents.engineResponded(recorded, attempt.engine())
            : recorded;
    NodeState observed =
        event.result() == ForwardResult.COMPLETED
            ? CapacitySharing.recordCompleted(next, attempt)
            : next;
    return CrashEvents.attemptEnded(observed, call, attempt, event.result())
        .then(
            after ->
                event.result().failure()
                    ? attemptFailed(after, call, attempt, event.result())
                    : CallSteps.finish(after, call, CallDecision.Outcome.COMPLETED))
        .then(WaitingCalls::serve);
  }

  /** Removes the call of a caller that has disconnected and cancels its attempt. */
  public static Transition<NodeState, Effect> cancelled(NodeState node, CallCancelled event) {
    Call call = node.gateway().calls().get(event.call());
    if (call == null) {
      return Transition.of(node);
    }
    return CallSteps.cancelAttempt(recordSilence(node, call), call)
        .then(next -> CallSteps.finish(next, call, CallDecision.Outcome.CALLER_LEFT))
        .then(WaitingCalls::serve);
  }

  /** Records the attempt of a call that ends before its engine has responded completely. */
  private static NodeState recordSilence(NodeState node, Call call) {
    return call.activeAttempt()
        .map(attempt -> CrashEvents.attemptSilent(node, call, attempt))
        .orElse(node);
  }

  /** Records that the connection of a caller was closed before its response was complete. */
  public static Transition<NodeState, Effect> connectionClosed(
      NodeState node, CallerConnectionClosed event) {
    if (event.progress() == RequestProgress.NONE) {
      return Transition.of(node);
    }
    Optional<CallDecision.Subject> subject =
        event.call().stream()
            .mapToObj(id -> node.gateway().calls().get(id))
            .filter(Objects::nonNull)
            .map(CallSteps::subject)
            .findFirst();
    return Transition.of(
        node,
        new RecordDecision(
            CallDecision.connectionClosed(subject, event.reason(), event.progress())));
  }

  /** Fails a call whose deadline has passed. */
  public static Transition<NodeState, Effect> expired(NodeState node, String key) {
    Call call = node.gateway().calls().get(Long.parseLong(key));
    if (call == null) {
      return Transition.of(node);
    }
    boolean mayHaveRun = call.mayHaveRun() || call.activeAttempt().isPresent();
    Reply reply = mayHaveRun ? Reply.TIMED_OUT : Reply.EXPIRED_UNSENT;
    return CallSteps.cancelAttempt(recordSilence(node, call), call)
        .then(next -> CallSteps.fail(next, call, reply, 0, FailureCause.EXPIRED))
        .then(WaitingCalls::serve);
  }

  /**
   * Answers all open calls, because the instance ends. A call that was sent to an engine may have
   * run. Streams that have begun are aborted.
   */
  public static Transition<NodeState, Effect> endAll(NodeState node) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (Call call : node.gateway().calls().values()) {
      boolean mayHaveRun = call.activeAttempt().isPresent() || call.mayHaveRun();
      Reply reply = mayHaveRun ? Reply.OUTCOME_UNKNOWN : Reply.SHUTTING_DOWN;
      result =
          result
              .then(next -> CallSteps.cancelAttempt(next, call))
              .then(next -> CallSteps.fail(next, call, reply, 0, FailureCause.SHUTTING_DOWN));
    }
    return result;
  }

  private static Call createCall(
      CallSpec spec, Route route, Authentication caller, long receivedAtMs) {
    long routeTimeoutMs = route.timeoutMs();
    long timeLeftMs =
        Math.min(routeTimeoutMs, spec.timeLeftMs().map(Long::valueOf).orElse(routeTimeoutMs));
    long waitMs = Math.min(timeLeftMs / 2, Math.max(route.targetLatencyMs(), MIN_WAIT_MS));
    long hash = Rendezvous.weight(spec.fingerprint(), spec.id());
    return Call.arrived(
        spec,
        route,
        caller,
        route.serviceFor(hash),
        receivedAtMs,
        receivedAtMs + timeLeftMs,
        receivedAtMs + waitMs);
  }

  private static Transition<NodeState, Effect> forwardOrWait(NodeState node, Call call) {
    Choice choice = EngineSelector.choose(node, call);
    if (choice.verdict() != Verdict.CHOSEN) {
      return wait(node, call, choice);
    }
    if (!CapacitySharing.inUse(node) || node.gateway().waiting().isEmpty()) {
      return CallSteps.send(node, call, choice);
    }
    // Digests of peers may show places that calls of other accounts have waited for.
    return WaitingCalls.serve(node)
        .then(
            next -> {
              Choice left = EngineSelector.choose(next, call);
              return left.verdict() == Verdict.CHOSEN
                  ? CallSteps.send(next, call, left)
                  : wait(next, call, left);
            });
  }

  private static Transition<NodeState, Effect> wait(NodeState node, Call call, Choice choice) {
    Transition<NodeState, Effect> queued = CallSteps.enqueue(node, call, choice);
    return choice.verdict() == Verdict.FULL
        ? queued.then(next -> CapacitySharing.admit(next, call))
        : queued;
  }

  private static Transition<NodeState, Effect> attemptFailed(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    return Transition.<NodeState, Effect>of(
            node, CallSteps.attemptFailedRecord(node, call, attempt, result))
        .then(next -> retryOrFail(next, call, attempt, result));
  }

  private static Transition<NodeState, Effect> retryOrFail(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    // The response of another engine can't be relayed once part of one has been delivered.
    boolean canRelayError = result == ForwardResult.ERROR_ANSWER && !call.delivered();
    Optional<FailureCause> obstacle = retryObstacle(node, call);
    FailureCause cause = obstacle.orElse(FailureCause.NO_ENGINE);
    if (obstacle.isEmpty()) {
      Choice choice = EngineSelector.choose(node, call);
      cause = choice.verdict().cause();
      boolean canWait =
          !canRelayError
              && node.nowMs() < call.waitDeadlineMs()
              && !ClosedEngineAdmission.opensTooLate(call, choice);
      if (choice.verdict() == Verdict.CHOSEN) {
        return CallSteps.send(node, call, choice);
      }
      if (canWait && choice.verdict().mayChange()) {
        return CallSteps.enqueue(node, call, choice);
      }
    }
    if (canRelayError) {
      long id = call.spec().id();
      return Transition.<NodeState, Effect>of(node, new RelayErrorResponse(id, attempt.number()))
          .then(next -> CallSteps.finish(next, call, CallDecision.Outcome.ENGINE_ERROR));
    }
    if (call.mayHaveRun()) {
      return CallSteps.fail(node, call, Reply.OUTCOME_UNKNOWN, 0, cause);
    }
    if (result == ForwardResult.DEADLINE_PASSED) {
      return CallSteps.fail(node, call, Reply.EXPIRED_UNSENT, 0, FailureCause.EXPIRED);
    }
    Choice choice = EngineSelector.choose(node, call);
    return choice.verdict() == Verdict.CLOSED || choice.verdict().refusesCall()
        ? CallSteps.failWithoutEngine(node, call, choice)
        : CallSteps.fail(node, call, Reply.NO_ENGINE, CallSteps.RETRY_AFTER_FULL_MS, cause);
  }

  /**
   * Returns why a call may not be sent to another engine, or nothing if it may. A response that has
   * begun may wait for the retry budget, which fills with arrivals; callers of other calls get a
   * reply and can come back themselves.
   */
  private static Optional<FailureCause> retryObstacle(NodeState node, Call call) {
    if (!call.mayRunAgain()) {
      return Optional.of(FailureCause.NO_RUN_LEFT);
    }
    if (node.nowMs() >= call.deadlineMs()) {
      return Optional.of(FailureCause.EXPIRED);
    }
    if (node.gateway().crashRecords().bannedContent(call.spec(), node.nowMs()).isPresent()) {
      return Optional.of(FailureCause.REQUEST_BANNED);
    }
    boolean mayWaitForRetry = !call.retryDue() || call.delivered();
    return mayWaitForRetry || CallSteps.budget(node, call.service()).allowsRetry()
        ? Optional.empty()
        : Optional.of(FailureCause.RETRY_BUDGET_EMPTY);
  }

  private static Optional<Call> findWithAttempt(NodeState node, long id, int attempt) {
    return Optional.ofNullable(node.gateway().calls().get(id))
        .filter(call -> call.activeAttempt().filter(a -> a.number() == attempt).isPresent());
  }
}
