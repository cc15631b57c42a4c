package org.limpetdoor.core.gateway;

import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Timers;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.FailureCause;
import org.limpetdoor.core.effect.AbortCall;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.gateway.EngineSelector.Choice;
import org.limpetdoor.core.gateway.EngineSelector.Verdict;
import org.limpetdoor.core.gateway.account.ClientAccount;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.request.RetryBudget;

/** State transitions shared by the events of forwarded calls. */
final class CallSteps {
  /**
   * Retry-After delay when all engines are full, in milliseconds. Streams run for about 1.5 s; with
   * a shorter delay a caller is likely to be refused a second time.
   */
  static final long RETRY_AFTER_FULL_MS = 1_200;

  /**
   * Retry-After delay when a model has to be loaded first, in milliseconds. Loads take up to 2.6 s,
   * and the call has already waited for a part of that time.
   */
  private static final long RETRY_AFTER_LOAD_MS = 2_200;

  private CallSteps() {}

  /**
   * Queues a call until an engine is available, or fails it if its wait deadline has passed or
   * passes before an engine accepts requests. Requests the model if no engine has it loaded.
   */
  static Transition<NodeState, Effect> enqueue(NodeState node, Call call, Choice choice) {
    boolean cannotBeSent =
        choice.verdict().refusesCall() || ClosedEngineAdmission.opensTooLate(call, choice);
    if (cannotBeSent || node.nowMs() >= call.waitDeadlineMs()) {
      return failWithoutEngine(node, call, choice);
    }
    Verdict verdict = choice.verdict();
    if (verdict == Verdict.MODEL_NOT_LOADED && isModelAbsent(node, call)) {
      return enqueueForAbsentModel(node, call);
    }
    return enqueueNow(node, call, verdict);
  }

  private static boolean isModelAbsent(NodeState node, Call call) {
    ModelKey model = call.spec().model().orElseThrow().base();
    return !ModelRequests.isLoaded(node.gateway(), call.service(), model);
  }

  /** Queues a call for a model that has to be loaded, or refuses it until the model is loaded. */
  private static Transition<NodeState, Effect> enqueueForAbsentModel(NodeState node, Call call) {
    ModelKey key = call.spec().model().orElseThrow();
    GatewayState state = node.gateway();
    CallTable calls = state.callTable().withAbsent(key.base(), node.nowMs());
    NodeState recorded = node.withGateway(state.withCallTable(calls));
    Optional<Long> returnAfterMs =
        loadMs(state, call)
            .flatMap(
                loadMs ->
                    AbsentModelAdmission.returnAfterMs(
                        call, node.nowMs(), calls.absentSinceMs().get(key.base()), loadMs));
    return returnAfterMs
        .map(
            afterMs ->
                ModelRequests.request(recorded, call.service(), key)
                    .then(
                        next ->
                            fail(
                                next,
                                call,
                                Reply.MODEL_ABSENT,
                                afterMs,
                                FailureCause.MODEL_NOT_LOADED)))
        .orElseGet(() -> enqueueNow(recorded, call, Verdict.MODEL_NOT_LOADED));
  }

  private static Optional<Long> loadMs(GatewayState state, Call call) {
    return state
        .table()
        .map(table -> table.services().get(call.service()))
        .flatMap(ServiceSpec::engine)
        .map(engine -> engine.models().get(call.spec().model().orElseThrow().model()))
        .map(ServiceSpec.ModelSpec::loadMs);
  }

  private static Transition<NodeState, Effect> enqueueNow(
      NodeState node, Call call, Verdict verdict) {
    GatewayState state = node.gateway().withCall(call);
    NodeState waiting =
        node.withGateway(state.withCallTable(state.callTable().withWaiting(call.spec().id())))
            .withTimers(node.timers().plus(call.waitTimer()).plus(call.promptPacingTimer()));
    return verdict == Verdict.MODEL_NOT_LOADED
        ? ModelRequests.request(waiting, call.service(), call.spec().model().orElseThrow())
        : Transition.of(waiting);
  }

  /**
   * Fails a call for which no engine was found. The reply guarantees that the call has not run only
   * if no attempt may have run.
   */
  static Transition<NodeState, Effect> failWithoutEngine(NodeState node, Call call, Choice choice) {
    if (call.mayHaveRun()) {
      return fail(node, call, Reply.OUTCOME_UNKNOWN, 0, choice.verdict().cause());
    }
    long retryAfterMs =
        switch (choice.verdict()) {
          case MODEL_NOT_LOADED -> RETRY_AFTER_LOAD_MS;
          case CLOSED ->
              ClosedEngineAdmission.returnAfterMs(call, node.nowMs(), choice.opensAtMs());
          case REQUEST_BANNED, SHUTTING_DOWN -> 0;
          case FULL, PROMPT_HELD_BACK -> CapacitySharing.returnAfterMs(node, call);
          default -> RETRY_AFTER_FULL_MS;
        };
    return fail(node, call, choice.verdict().refusal(), retryAfterMs, choice.verdict().cause());
  }

  /** Sends a call to the chosen engine. */
  static Transition<NodeState, Effect> send(NodeState node, Call call, Choice choice) {
    EngineState engine = choice.engine().orElseThrow();
    Call sent = call.withAttempt(engine.entry().id(), node.nowMs());
    GatewayState state = CapacitySharing.recordSent(chargeRetry(node, call), call).gateway();
    NodeState next =
        node.withGateway(
            state
                .withCall(sent)
                .withEngines(
                    state
                        .engines()
                        .update(
                            engine.entry().id(),
                            current -> current.withLoad(load -> load.withSent(sent)))));
    BackendId id = engine.entry().id();
    long waitedMs = node.nowMs() - call.arrivedAtMs();
    CallDecision decision =
        call.account().isPresent()
            ? CallDecision.routed(subject(sent), id, choice.candidates(), waitedMs)
            : CallDecision.routed(subject(sent), id, choice.candidates());
    return Transition.<NodeState, Effect>of(next, new RecordDecision(decision))
        .with(ForwardCallFactory.create(node, sent, engine));
  }

  /**
   * Takes a retry from the budget of the service. A retry of a request that was not sent is free,
   * because the failed attempt put no load on an engine.
   */
  private static NodeState chargeRetry(NodeState node, Call call) {
    if (!call.retryDue()) {
      return node;
    }
    RetryBudget budget = budget(node, call.service()).withRetry();
    return node.withGateway(node.gateway().withBudget(call.service(), budget));
  }

  /**
   * Ends a call with a reply of this instance, or aborts it if the caller has already received part
   * of a response.
   */
  static Transition<NodeState, Effect> fail(
      NodeState node, Call call, Reply reply, long retryAfterMs, FailureCause cause) {
    long id = call.spec().id();
    Effect effect = call.delivered() ? new AbortCall(id) : new ReplyToCall(id, reply, retryAfterMs);
    CallDecision decision =
        CallDecision.failed(
            subject(call),
            new CallDecision.Failure(
                reply,
                cause,
                call.delivered(),
                node.nowMs() - call.arrivedAtMs(),
                budget(node, call.service()).available(),
                call.deadlineMs() - node.nowMs()));
    NodeState recorded = CapacitySharing.recordFailed(node, call, cause);
    return Transition.<NodeState, Effect>of(remove(recorded, call), effect)
        .with(new RecordDecision(decision));
  }

  /** Removes a call that was answered or whose caller has disconnected. */
  static Transition<NodeState, Effect> finish(
      NodeState node, Call call, CallDecision.Outcome outcome) {
    CallDecision decision =
        CallDecision.ended(subject(call), outcome, node.nowMs() - call.arrivedAtMs());
    return Transition.of(remove(node, call), new RecordDecision(decision));
  }

  /** Refuses a call on arrival, before it is counted or queued. */
  static Transition<NodeState, Effect> refuseOnArrival(NodeState node, CallSpec spec, Reply reply) {
    CallDecision decision = CallDecision.refused(spec, node.gateway().version(), reply);
    return Transition.<NodeState, Effect>of(node, new ReplyToCall(spec.id(), reply, 0))
        .with(new RecordDecision(decision));
  }

  /** Cancels the attempt in progress, if there is one. */
  static Transition<NodeState, Effect> cancelAttempt(NodeState node, Call call) {
    if (call.activeAttempt().isEmpty()) {
      return Transition.of(node);
    }
    Attempt attempt = call.activeAttempt().get();
    return Transition.of(
        releaseEngine(node, call, attempt), new CancelForward(call.spec().id(), attempt.number()));
  }

  /** Records at the engine that the first event of a response has been received. */
  static EngineState recordResponseStarted(EngineState engine, Call call, long tookMs) {
    return engine
        .withLoad(load -> load.withStarted(call))
        .withHealth(health -> health.withResponse(tookMs));
  }

  /** Removes an attempt from the load of its engine. */
  static NodeState releaseEngine(NodeState node, Call call, Attempt attempt) {
    GatewayState state = node.gateway();
    return node.withGateway(
        state.withEngines(
            state
                .engines()
                .update(
                    attempt.engine(),
                    engine -> engine.withLoad(load -> load.withEnded(call, attempt.started())))));
  }

  /** Updates the health of the engine with the result of an attempt. */
  static NodeState recordResult(NodeState node, Call call, Attempt attempt, ForwardResult result) {
    GatewayState state = node.gateway();
    EngineTable engines =
        state
            .engines()
            .update(attempt.engine(), engine -> withResult(node, engine, call, attempt, result));
    NodeState recorded = node.withGateway(state.withEngines(engines));
    return result.failure() ? withRetryTimers(recorded, attempt.engine()) : recorded;
  }

  /** Adds timers for the times from which a failed engine is neither full nor avoided. */
  private static NodeState withRetryTimers(NodeState node, BackendId id) {
    Optional<EngineHealth> health = node.gateway().engines().find(id).map(EngineState::health);
    Timers timers = node.timers();
    for (long retryAtMs : health.map(EngineHealth::retryTimesMs).orElse(List.of())) {
      boolean pending = retryAtMs > node.nowMs();
      Timer timer = new Timer(retryAtMs, TimerKind.ENGINE_RETRY, id.value());
      timers = pending ? timers.plus(timer) : timers;
    }
    return node.withTimers(timers);
  }

  private static EngineState withResult(
      NodeState node, EngineState engine, Call call, Attempt attempt, ForwardResult result) {
    if (result == ForwardResult.COMPLETED) {
      long tookMs = node.nowMs() - attempt.sentAtMs();
      boolean streamed = call.route().kind().streamed();
      return streamed ? engine : engine.withHealth(health -> health.withResponse(tookMs));
    }
    if (result != ForwardResult.MISDIRECTED) {
      return engine.withHealth(health -> health.withFailure(result.engineFailure(), node.nowMs()));
    }
    // A call without a model is misdirected only if another engine has taken over the address.
    return call.spec()
        .model()
        .map(key -> engine.withLoadedModels(models -> models.without(key)))
        .orElse(engine.withDraining());
  }

  /** Counts a new call towards the retry budget of its service and the demand for its model. */
  static NodeState countArrival(NodeState node, Call call) {
    GatewayState state = node.gateway();
    GatewayState afterRequest =
        state.withBudget(call.service(), budget(node, call.service()).withRequest());
    return node.withGateway(
        call.spec()
            .model()
            .map(key -> ModelRequests.countArrival(afterRequest, key))
            .orElse(afterRequest));
  }

  static RetryBudget budget(NodeState node, String service) {
    GatewayState state = node.gateway();
    RetryBudget current = state.budgets().get(service);
    return current == null ? RetryBudgets.empty(node) : current;
  }

  private static NodeState remove(NodeState node, Call call) {
    NodeState settled = AllowanceSteps.giveBackUnlessRun(node, call);
    return settled
        .withGateway(settled.gateway().withoutCall(call.spec().id()))
        .withTimers(
            node.timers()
                .minus(call.expiryTimer())
                .minus(call.waitTimer())
                .minus(call.promptPacingTimer()));
  }

  /** Removes a call from the waiting calls. */
  static NodeState dequeue(NodeState node, Call call) {
    GatewayState state = node.gateway();
    return node.withGateway(state.withCallTable(state.callTable().withoutWaiting(call.spec().id())))
        .withTimers(node.timers().minus(call.waitTimer()).minus(call.promptPacingTimer()));
  }

  /** Returns the decision record of a failed attempt. */
  static RecordDecision attemptFailedRecord(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    return new RecordDecision(
        CallDecision.attemptFailed(
            subject(call),
            new CallDecision.FailedAttempt(
                attempt.engine(),
                result,
                node.nowMs() - attempt.sentAtMs(),
                attempt.started(),
                call.spec().sharedPromptParts())));
  }

  /** Returns the decision record of how a silent attempt was handled. */
  static RecordDecision silenceRecord(
      NodeState node, Call call, Attempt attempt, CallDecision.SilenceOutcome silence) {
    double retriesLeft = budget(node, call.service()).available();
    return new RecordDecision(
        CallDecision.silent(subject(call), attempt.engine(), silence, retriesLeft));
  }

  static CallDecision.Subject subject(Call call) {
    return new CallDecision.Subject(
        call.spec().callerAttemptId(),
        call.route().name(),
        call.service(),
        call.spec().model().map(ModelKey::toString).orElse("none"),
        call.triedEngines().size(),
        call.account().map(ClientAccount::name));
  }
}
