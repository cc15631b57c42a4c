package org.limpetdoor.core.gateway;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.effect.AbortCall;
import org.limpetdoor.core.effect.CancelForward;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.gateway.Chooser.Choice;
import org.limpetdoor.core.gateway.Chooser.Verdict;
import org.limpetdoor.core.request.RetryBudget;

/** Steps that events of forwarded calls have in common. */
final class CallSteps {
  /**
   * Time after which a caller may come back when engines are full, in milliseconds. Streams run for
   * about 1.5 s, and a caller that is refused twice is served worse than one that waits.
   */
  static final long RETRY_AFTER_FULL_MS = 1_200;

  /**
   * Time after which a caller may come back when a model has to be loaded, in milliseconds. A load
   * takes up to 2.6 s, less the time for which the call has waited.
   */
  private static final long RETRY_AFTER_LOAD_MS = 2_200;

  private CallSteps() {}

  /** Lets a call wait for an engine, or gives up if it has waited for as long as it may. */
  static Transition<NodeState, Effect> await(NodeState node, Call call, Verdict verdict) {
    if (node.nowMs() >= call.waitsUntilMs()) {
      return giveUp(node, call, verdict);
    }
    GatewayState state = node.gateway().withCall(call);
    NodeState waiting =
        node.withGateway(state.withWaiting(state.waiting().plus(call.spec().id())))
            .withTimers(node.timers().plus(call.waitTimer()).plus(call.paceTimer()));
    return verdict == Verdict.NOT_HELD
        ? Wants.ask(waiting, call.service(), call.spec().model().orElseThrow())
        : Transition.of(waiting);
  }

  /** Ends a call for which no engine was found, with a true refusal if it has not run. */
  static Transition<NodeState, Effect> giveUp(NodeState node, Call call, Verdict verdict) {
    if (call.mayHaveRun()) {
      return fail(node, call, Reply.OUTCOME_UNKNOWN, 0);
    }
    long afterMs = verdict == Verdict.NOT_HELD ? RETRY_AFTER_LOAD_MS : RETRY_AFTER_FULL_MS;
    return fail(node, call, verdict.refusal(), afterMs);
  }

  /** Sends a call to the chosen engine. */
  static Transition<NodeState, Effect> send(NodeState node, Call call, Choice choice) {
    EngineState engine = choice.engine().orElseThrow();
    Call sent = call.withAttempt(engine.entry().id(), node.nowMs());
    GatewayState state = node.gateway();
    NodeState next =
        node.withGateway(
            state
                .withCall(sent)
                .withEngines(
                    state
                        .engines()
                        .update(
                            engine.entry().id(),
                            known -> known.withLoad(load -> load.sent(sent)))));
    CallDecision decision =
        CallDecision.routed(describe(sent), engine.entry().id(), choice.candidates());
    return Transition.<NodeState, Effect>of(next, new RecordDecision(decision))
        .with(Forwards.forward(node, sent, engine));
  }

  /** A connection that could not be opened brought the engine nothing, so it costs nothing. */
  static NodeState charge(NodeState node, Call call, ForwardResult result) {
    if (result == ForwardResult.CONNECT_FAILED) {
      return node;
    }
    RetryBudget budget = budget(node, call.service()).withRetry();
    return node.withGateway(node.gateway().withBudget(call.service(), budget));
  }

  /** Answers a call in place of an engine, or breaks it off if its caller has part of an answer. */
  static Transition<NodeState, Effect> fail(
      NodeState node, Call call, Reply reply, long retryAfterMs) {
    long id = call.spec().id();
    Effect effect = call.delivered() ? new AbortCall(id) : new ReplyToCall(id, reply, retryAfterMs);
    CallDecision decision =
        CallDecision.failed(
            describe(call), reply, call.delivered(), node.nowMs() - call.arrivedAtMs());
    return Transition.<NodeState, Effect>of(forget(node, call), effect)
        .with(new RecordDecision(decision));
  }

  /** Forgets a call whose caller has an answer or has left. */
  static Transition<NodeState, Effect> finish(
      NodeState node, Call call, CallDecision.Outcome outcome) {
    CallDecision decision =
        CallDecision.ended(describe(call), outcome, node.nowMs() - call.arrivedAtMs());
    return Transition.of(forget(node, call), new RecordDecision(decision));
  }

  /** Refuses a call that was not bound to a route. */
  static Transition<NodeState, Effect> refuseUnbound(NodeState node, CallSpec spec, Reply reply) {
    CallDecision decision = CallDecision.refused(spec, node.gateway().version(), reply);
    return Transition.<NodeState, Effect>of(node, new ReplyToCall(spec.id(), reply, 0))
        .with(new RecordDecision(decision));
  }

  /** Ends the attempt in progress, if there is one. */
  static Transition<NodeState, Effect> abandonAttempt(NodeState node, Call call) {
    if (call.active().isEmpty()) {
      return Transition.of(node);
    }
    Attempt attempt = call.active().get();
    return Transition.of(
        release(node, call, attempt), new CancelForward(call.spec().id(), attempt.number()));
  }

  /** Notes the first event of an answer at its engine. */
  static EngineState started(EngineState engine, Call call, long tookMs) {
    return engine
        .withLoad(load -> load.started(call))
        .withHealth(health -> health.answered(tookMs));
  }

  /** Frees the room of an attempt at its engine. */
  static NodeState release(NodeState node, Call call, Attempt attempt) {
    GatewayState state = node.gateway();
    return node.withGateway(
        state.withEngines(
            state
                .engines()
                .update(
                    attempt.engine(),
                    engine -> engine.withLoad(load -> load.ended(call, attempt.started())))));
  }

  /** Notes what the end of an attempt says about the engine. */
  static NodeState note(NodeState node, Call call, Attempt attempt, ForwardResult result) {
    GatewayState state = node.gateway();
    EngineTable engines =
        state
            .engines()
            .update(attempt.engine(), engine -> noted(node, engine, call, attempt, result));
    CrashLedger suspects = judged(node, call.spec().fingerprint(), result);
    return node.withGateway(state.withEngines(engines).withSuspects(suspects));
  }

  /** A call that engines answer does not crash them, whatever was lost before. */
  private static CrashLedger judged(NodeState node, long fingerprint, ForwardResult result) {
    CrashLedger suspects = node.gateway().suspects();
    return switch (result) {
      case CONNECTION_LOST -> suspects.withOwnLoss(fingerprint, node.nowMs());
      case COMPLETED, ERROR_ANSWER -> suspects.cleared(fingerprint);
      default -> suspects;
    };
  }

  private static EngineState noted(
      NodeState node, EngineState engine, Call call, Attempt attempt, ForwardResult result) {
    if (result == ForwardResult.COMPLETED) {
      long tookMs = node.nowMs() - attempt.sentAtMs();
      boolean streamed = call.route().kind().streamed();
      return streamed ? engine : engine.withHealth(health -> health.answered(tookMs));
    }
    if (result != ForwardResult.MISDIRECTED) {
      return engine.withHealth(health -> health.failed(result.blame(), node.nowMs()));
    }
    // Without a model in question another engine has the address.
    return call.spec()
        .model()
        .map(key -> engine.withHolding(holding -> holding.without(key)))
        .orElse(engine.withDraining());
  }

  /** Counts a call for the retry budget and for the demand for its model. */
  static NodeState countArrival(NodeState node, Call call) {
    GatewayState state = node.gateway();
    GatewayState budgeted =
        state.withBudget(call.service(), budget(node, call.service()).withRequest());
    return node.withGateway(
        call.spec().model().map(key -> Wants.count(budgeted, key)).orElse(budgeted));
  }

  static RetryBudget budget(NodeState node, String service) {
    GatewayState state = node.gateway();
    RetryBudget known = state.budgets().get(service);
    return known == null ? Budgets.empty(node) : known;
  }

  private static NodeState forget(NodeState node, Call call) {
    return node.withGateway(node.gateway().withoutCall(call.spec().id()))
        .withTimers(
            node.timers()
                .minus(call.expiryTimer())
                .minus(call.waitTimer())
                .minus(call.paceTimer()));
  }

  /** Takes a call out of those that wait. */
  static NodeState notWaiting(NodeState node, Call call) {
    GatewayState state = node.gateway();
    return node.withGateway(state.withWaiting(state.waiting().minus(call.spec().id())))
        .withTimers(node.timers().minus(call.waitTimer()).minus(call.paceTimer()));
  }

  /** Records why an attempt failed. */
  static RecordDecision attemptFailed(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    return new RecordDecision(
        CallDecision.attemptFailed(
            describe(call), attempt.engine(), result, node.nowMs() - attempt.sentAtMs()));
  }

  /** Records what was done about a silent engine. */
  static RecordDecision silence(
      NodeState node, Call call, Attempt attempt, CallDecision.SilenceOutcome silence) {
    double retriesLeft = budget(node, call.service()).available();
    return new RecordDecision(
        CallDecision.silent(describe(call), attempt.engine(), silence, retriesLeft));
  }

  private static CallDecision.Subject describe(Call call) {
    return new CallDecision.Subject(
        call.spec().label(),
        call.route().name(),
        call.service(),
        call.spec().model().map(ModelKey::toString).orElse("none"),
        call.tried().size());
  }
}
