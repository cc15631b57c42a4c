package org.limpetdoor.core.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.effect.AbandonForward;
import org.limpetdoor.core.effect.BreakOffCall;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.PassAnswer;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.effect.ReplyToCall;
import org.limpetdoor.core.event.CallAbandoned;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.gateway.Chooser.Choice;
import org.limpetdoor.core.gateway.Chooser.Verdict;
import org.limpetdoor.core.request.Rendezvous;
import org.limpetdoor.core.request.RetryBudget;

/** Reduces events of calls that are forwarded by route. */
public final class CallEvents {
  /** Shortest time for which a call may wait for an engine, in milliseconds. */
  private static final long MIN_WAIT_MS = 1_000;

  /**
   * Time after which a caller may come back when engines are full, in milliseconds. Streams run for
   * about 1.5 s, and a caller that is refused twice is served worse than one that waits.
   */
  private static final long RETRY_AFTER_FULL_MS = 1_200;

  /**
   * Time after which a caller may come back when a model has to be loaded, in milliseconds. A load
   * takes up to 2.6 s, less the time for which the call has waited.
   */
  private static final long RETRY_AFTER_LOAD_MS = 2_200;

  private CallEvents() {}

  /** Binds a call to a route of the version in force and forwards it, or refuses it. */
  public static Transition<NodeState, Effect> arrived(NodeState node, CallArrived event) {
    CallSpec spec = event.spec();
    GatewayState state = node.gateway();
    if (state.table().isEmpty()) {
      return refuseUnbound(node, spec, Reply.NO_CONFIGURATION);
    }
    if (node.nowMs() >= state.acceptsUntilMs()) {
      return refuseUnbound(node, spec, Reply.SHUTTING_DOWN);
    }
    RouteTable table = state.table().get();
    Optional<Route> found = table.find(spec.host(), spec.path());
    if (found.isEmpty()) {
      return refuseUnbound(node, spec, Reply.NO_ROUTE);
    }
    Call call = bind(spec, found.get(), node.nowMs());
    if (state.suspects().bans(spec.fingerprint())) {
      return refuseUnbound(node, spec, Reply.CRASH_SUSPECT);
    }
    NodeState counted = countArrival(node, call);
    NodeState timed = counted.withTimers(counted.timers().plus(call.expiryTimer()));
    return forwardOrWait(timed, call);
  }

  /** Notes the first event of a streamed answer. */
  public static Transition<NodeState, Effect> started(NodeState node, ForwardStarted event) {
    Optional<Call> found = withAttempt(node, event.call(), event.attempt());
    if (found.isEmpty()) {
      return Transition.of(node);
    }
    Call call = found.get();
    Attempt attempt = call.active().orElseThrow();
    long tookMs = node.nowMs() - attempt.sentAtMs();
    GatewayState state = node.gateway();
    return Transition.<NodeState, Effect>of(
            node.withGateway(
                state
                    .withCall(call.withStarted())
                    .withEngines(
                        state
                            .engines()
                            .update(attempt.engine(), engine -> started(engine, call, tookMs)))))
        .then(CallEvents::serveWaiting);
  }

  /**
   * Sends a call elsewhere whose engine is silent. If that is not possible the attempt goes on,
   * because silence alone is no reason to end an answer.
   */
  public static Transition<NodeState, Effect> silent(NodeState node, ForwardSilent event) {
    Optional<Call> found = withAttempt(node, event.call(), event.attempt());
    if (found.isEmpty()) {
      return Transition.of(node);
    }
    Attempt attempt = found.get().active().orElseThrow();
    Call call = found.get().withAttemptEnded(ForwardResult.SILENT, false);
    if (!mayRetry(node, call, ForwardResult.SILENT)) {
      return Transition.of(node);
    }
    NodeState noted = note(release(node, call, attempt), call, attempt, ForwardResult.SILENT);
    Choice choice = Chooser.choose(noted, call);
    if (choice.verdict() != Verdict.CHOSEN) {
      return Transition.of(node);
    }
    return Transition.<NodeState, Effect>of(
            charge(noted, call, ForwardResult.SILENT),
            new AbandonForward(event.call(), event.attempt()))
        .then(next -> send(next, call, choice));
  }

  /** Ends an attempt: the call is finished, goes on at another engine, or fails. */
  public static Transition<NodeState, Effect> ended(NodeState node, ForwardEnded event) {
    Optional<Call> found = withAttempt(node, event.call(), event.attempt());
    if (found.isEmpty()) {
      return Transition.of(node);
    }
    Call before = found.get();
    Attempt attempt = before.active().orElseThrow();
    Call call = before.withAttemptEnded(event.result(), event.delivered());
    NodeState noted = note(release(node, before, attempt), call, attempt, event.result());
    Transition<NodeState, Effect> result =
        event.result().failure()
            ? afterFailure(noted, call, attempt, event.result())
            : finish(noted, call, CallDecision.Outcome.COMPLETED);
    return result.then(CallEvents::serveWaiting);
  }

  /** Frees what the call of a caller that has left held. */
  public static Transition<NodeState, Effect> abandoned(NodeState node, CallAbandoned event) {
    Call call = node.gateway().calls().get(event.call());
    if (call == null) {
      return Transition.of(node);
    }
    return abandonAttempt(node, call)
        .then(next -> finish(next, call, CallDecision.Outcome.CALLER_LEFT))
        .then(CallEvents::serveWaiting);
  }

  /** Ends a call whose time has run out. */
  public static Transition<NodeState, Effect> expired(NodeState node, String key) {
    Call call = node.gateway().calls().get(Long.parseLong(key));
    if (call == null) {
      return Transition.of(node);
    }
    boolean mayHaveRun = call.mayHaveRun() || call.active().isPresent();
    Reply reply = mayHaveRun ? Reply.TIMED_OUT : Reply.EXPIRED_UNSENT;
    return abandonAttempt(node, call)
        .then(next -> fail(next, call, reply, 0))
        .then(CallEvents::serveWaiting);
  }

  /** Refuses a call that has waited for an engine for as long as it may. */
  public static Transition<NodeState, Effect> waitedTooLong(NodeState node, String key) {
    Call call = node.gateway().calls().get(Long.parseLong(key));
    if (call == null || !node.gateway().waiting().contains(call.spec().id())) {
      return Transition.of(node);
    }
    return giveUp(node, call, Chooser.choose(node, call).verdict());
  }

  /** Sends a call that has waited for an engine to read, to one that still reads. */
  public static Transition<NodeState, Effect> paced(NodeState node, String key) {
    return serveWaiting(node);
  }

  /** Forwards waiting calls for which an engine has become free, the most urgent first. */
  static Transition<NodeState, Effect> serveWaiting(NodeState node) {
    Transition<NodeState, Effect> result = Transition.of(node);
    if (node.gateway().waiting().isEmpty()) {
      return result;
    }
    List<Call> order =
        node.gateway().waiting().stream()
            .map(node.gateway().calls()::get)
            .sorted(Comparator.comparingInt(call -> call.route().priority()))
            .toList();
    for (Call call : order) {
      Choice choice = Chooser.choose(result.state(), call);
      if (choice.verdict() == Verdict.CHOSEN) {
        result = result.then(next -> send(notWaiting(next, call), call, choice));
      }
    }
    return result;
  }

  private static Call bind(CallSpec spec, Route route, long nowMs) {
    long boundMs = route.timeoutMs();
    long leftMs = Math.min(boundMs, spec.timeLeftMs().map(Long::valueOf).orElse(boundMs));
    long waitMs = Math.min(leftMs / 2, Math.max(route.targetLatencyMs(), MIN_WAIT_MS));
    long hash = Rendezvous.weight(spec.fingerprint(), spec.id());
    return Call.arrived(spec, route, route.serviceFor(hash), nowMs, nowMs + leftMs, nowMs + waitMs);
  }

  private static Transition<NodeState, Effect> forwardOrWait(NodeState node, Call call) {
    Choice choice = Chooser.choose(node, call);
    if (choice.verdict() == Verdict.CHOSEN) {
      return send(node, call, choice);
    }
    return await(node, call, choice.verdict());
  }

  private static Transition<NodeState, Effect> await(NodeState node, Call call, Verdict verdict) {
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

  private static Transition<NodeState, Effect> giveUp(NodeState node, Call call, Verdict verdict) {
    if (call.mayHaveRun()) {
      return fail(node, call, Reply.OUTCOME_UNKNOWN, 0);
    }
    long afterMs = verdict == Verdict.NOT_HELD ? RETRY_AFTER_LOAD_MS : RETRY_AFTER_FULL_MS;
    return fail(node, call, Reply.NO_ENGINE, afterMs);
  }

  private static Transition<NodeState, Effect> send(NodeState node, Call call, Choice choice) {
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

  private static Transition<NodeState, Effect> afterFailure(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    boolean kept = result == ForwardResult.ERROR_ANSWER;
    if (mayRetry(node, call, result)) {
      Choice choice = Chooser.choose(node, call);
      boolean canWait = !kept && node.nowMs() < call.waitsUntilMs();
      if (choice.verdict() == Verdict.CHOSEN) {
        return send(charge(node, call, result), call, choice);
      }
      if (canWait && choice.verdict() != Verdict.NO_ENGINE) {
        return await(charge(node, call, result), call, choice.verdict());
      }
    }
    if (kept) {
      long id = call.spec().id();
      return Transition.<NodeState, Effect>of(node, new PassAnswer(id, attempt.number()))
          .then(next -> finish(next, call, CallDecision.Outcome.ENGINE_ERROR));
    }
    boolean notRun = !call.mayHaveRun();
    return fail(
        node,
        call,
        notRun ? Reply.NO_ENGINE : Reply.OUTCOME_UNKNOWN,
        notRun ? RETRY_AFTER_FULL_MS : 0);
  }

  private static boolean mayRetry(NodeState node, Call call, ForwardResult result) {
    boolean affordable =
        result == ForwardResult.CONNECT_FAILED || budget(node, call.service()).allows();
    return affordable
        && call.mayRunAgain()
        && node.nowMs() < call.expiresAtMs()
        && !node.gateway().suspects().bans(call.spec().fingerprint());
  }

  /** A connection that could not be opened brought the engine nothing, so it costs nothing. */
  private static NodeState charge(NodeState node, Call call, ForwardResult result) {
    if (result == ForwardResult.CONNECT_FAILED) {
      return node;
    }
    RetryBudget budget = budget(node, call.service()).withRetry();
    return node.withGateway(node.gateway().withBudget(call.service(), budget));
  }

  private static Transition<NodeState, Effect> fail(
      NodeState node, Call call, Reply reply, long retryAfterMs) {
    long id = call.spec().id();
    Effect effect =
        call.delivered() ? new BreakOffCall(id) : new ReplyToCall(id, reply, retryAfterMs);
    CallDecision decision = CallDecision.failed(describe(call), reply, call.delivered());
    return Transition.<NodeState, Effect>of(forget(node, call), effect)
        .with(new RecordDecision(decision));
  }

  private static Transition<NodeState, Effect> finish(
      NodeState node, Call call, CallDecision.Outcome outcome) {
    CallDecision decision =
        CallDecision.ended(describe(call), outcome, node.nowMs() - call.arrivedAtMs());
    return Transition.of(forget(node, call), new RecordDecision(decision));
  }

  private static Transition<NodeState, Effect> refuseUnbound(
      NodeState node, CallSpec spec, Reply reply) {
    CallDecision decision = CallDecision.refused(spec, node.gateway().version(), reply);
    return Transition.<NodeState, Effect>of(node, new ReplyToCall(spec.id(), reply, 0))
        .with(new RecordDecision(decision));
  }

  private static Transition<NodeState, Effect> abandonAttempt(NodeState node, Call call) {
    if (call.active().isEmpty()) {
      return Transition.of(node);
    }
    Attempt attempt = call.active().get();
    return Transition.of(
        release(node, call, attempt), new AbandonForward(call.spec().id(), attempt.number()));
  }

  private static EngineState started(EngineState engine, Call call, long tookMs) {
    return engine
        .withLoad(load -> load.started(call))
        .withHealth(health -> health.answered(tookMs));
  }

  private static NodeState release(NodeState node, Call call, Attempt attempt) {
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
  private static NodeState note(NodeState node, Call call, Attempt attempt, ForwardResult result) {
    GatewayState state = node.gateway();
    EngineTable engines =
        state
            .engines()
            .update(attempt.engine(), engine -> noted(node, engine, call, attempt, result));
    CrashLedger suspects =
        result == ForwardResult.CONNECTION_LOST
            ? state.suspects().withOwnLoss(call.spec().fingerprint(), node.nowMs())
            : state.suspects();
    return node.withGateway(state.withEngines(engines).withSuspects(suspects));
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

  private static NodeState countArrival(NodeState node, Call call) {
    GatewayState state = node.gateway();
    GatewayState budgeted =
        state.withBudget(call.service(), budget(node, call.service()).withRequest());
    return node.withGateway(
        call.spec().model().map(key -> Wants.count(budgeted, key)).orElse(budgeted));
  }

  private static RetryBudget budget(NodeState node, String service) {
    GatewayState state = node.gateway();
    RetryBudget known = state.budgets().get(service);
    return known == null ? Budgets.empty(state) : known;
  }

  private static NodeState forget(NodeState node, Call call) {
    return node.withGateway(node.gateway().withoutCall(call.spec().id()))
        .withTimers(
            node.timers()
                .minus(call.expiryTimer())
                .minus(call.waitTimer())
                .minus(call.paceTimer()));
  }

  private static NodeState notWaiting(NodeState node, Call call) {
    GatewayState state = node.gateway();
    return node.withGateway(state.withWaiting(state.waiting().minus(call.spec().id())))
        .withTimers(node.timers().minus(call.waitTimer()).minus(call.paceTimer()));
  }

  private static Optional<Call> withAttempt(NodeState node, long id, int attempt) {
    return Optional.ofNullable(node.gateway().calls().get(id))
        .filter(call -> call.active().filter(a -> a.number() == attempt).isPresent());
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
