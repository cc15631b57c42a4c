package org.limpetdoor.core.gateway;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.CallDecision.Silence;
import org.limpetdoor.core.effect.AbandonForward;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.PassAnswer;
import org.limpetdoor.core.event.CallAbandoned;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.event.ForwardStarted;
import org.limpetdoor.core.gateway.Call.Attempt;
import org.limpetdoor.core.gateway.Chooser.Choice;
import org.limpetdoor.core.gateway.Chooser.Verdict;
import org.limpetdoor.core.request.Rendezvous;

/** Reduces events of calls that are forwarded by route. */
public final class CallEvents {
  /** Shortest time for which a call may wait for an engine, in milliseconds. */
  private static final long MIN_WAIT_MS = 1_000;

  /**
   * Time for which a stream that was cut off may wait for another engine, in milliseconds. Callers
   * leave after a pause of 2 s at least.
   */
  private static final long RESUME_WAIT_MS = 1_200;

  private CallEvents() {}

  /** Binds a call to a route of the version in force and forwards it, or refuses it. */
  public static Transition<NodeState, Effect> arrived(NodeState node, CallArrived event) {
    CallSpec spec = event.spec();
    GatewayState state = node.gateway();
    if (state.table().isEmpty()) {
      return CallSteps.refuseUnbound(node, spec, Reply.NO_CONFIGURATION);
    }
    if (node.nowMs() >= state.acceptsUntilMs()) {
      return CallSteps.refuseUnbound(node, spec, Reply.SHUTTING_DOWN);
    }
    RouteTable table = state.table().get();
    Optional<Route> found = table.find(spec.host(), spec.path());
    if (found.isEmpty()) {
      return CallSteps.refuseUnbound(node, spec, Reply.NO_ROUTE);
    }
    Call call = bind(spec, found.get(), node.nowMs());
    if (state.suspects().bans(spec.fingerprint())) {
      return CallSteps.refuseUnbound(node, spec, Reply.CRASH_SUSPECT);
    }
    NodeState counted = CallSteps.countArrival(node, call);
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
                            .update(
                                attempt.engine(),
                                engine -> CallSteps.started(engine, call, tookMs)))))
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
      return Transition.of(node, CallSteps.silence(node, call, attempt, Silence.NO_RETRY));
    }
    NodeState noted =
        CallSteps.note(CallSteps.release(node, call, attempt), call, attempt, ForwardResult.SILENT);
    Choice choice = Chooser.choose(noted, call);
    if (choice.verdict() != Verdict.CHOSEN) {
      return Transition.of(node, CallSteps.silence(node, call, attempt, Silence.NO_OTHER_ENGINE));
    }
    return Transition.<NodeState, Effect>of(
            CallSteps.charge(noted, call, ForwardResult.SILENT),
            new AbandonForward(event.call(), event.attempt()))
        .with(CallSteps.silence(node, call, attempt, Silence.MOVED))
        .then(next -> CallSteps.send(next, call, choice));
  }

  /** Notes that an engine passes the events of its streams on faster or slower than before. */
  public static Transition<NodeState, Effect> paceChanged(NodeState node, EnginePaceChanged event) {
    GatewayState state = node.gateway();
    EnginePace pace = new EnginePace(event.gapMs(), node.nowMs());
    return Transition.of(
        node.withGateway(
            state.withEngines(
                state.engines().update(event.engine(), engine -> engine.withPace(pace)))));
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
    NodeState noted =
        CallSteps.note(CallSteps.release(node, before, attempt), call, attempt, event.result());
    Transition<NodeState, Effect> result =
        event.result().failure()
            ? afterFailure(noted, call, attempt, event.result())
            : CallSteps.finish(noted, call, CallDecision.Outcome.COMPLETED);
    return result.then(CallEvents::serveWaiting);
  }

  /** Frees what the call of a caller that has left held. */
  public static Transition<NodeState, Effect> abandoned(NodeState node, CallAbandoned event) {
    Call call = node.gateway().calls().get(event.call());
    if (call == null) {
      return Transition.of(node);
    }
    return CallSteps.abandonAttempt(node, call)
        .then(next -> CallSteps.finish(next, call, CallDecision.Outcome.CALLER_LEFT))
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
    return CallSteps.abandonAttempt(node, call)
        .then(next -> CallSteps.fail(next, call, reply, 0))
        .then(CallEvents::serveWaiting);
  }

  /** Refuses a call that has waited for an engine for as long as it may. */
  public static Transition<NodeState, Effect> waitedTooLong(NodeState node, String key) {
    Call call = node.gateway().calls().get(Long.parseLong(key));
    if (call == null || !node.gateway().waiting().contains(call.spec().id())) {
      return Transition.of(node);
    }
    Choice choice = Chooser.choose(node, call);
    return choice.verdict() == Verdict.CHOSEN
        ? CallSteps.send(CallSteps.notWaiting(node, call), call, choice)
        : CallSteps.giveUp(node, call, choice.verdict());
  }

  /** Sends a call that has waited for an engine to read, to one that still reads. */
  public static Transition<NodeState, Effect> paced(NodeState node, String key) {
    return serveWaiting(node);
  }

  /**
   * Forwards waiting calls for which an engine has become free, the most urgent first. Calls that
   * are late already come last, so that one crest does not make all that follows it late.
   */
  static Transition<NodeState, Effect> serveWaiting(NodeState node) {
    Transition<NodeState, Effect> result = Transition.of(node);
    if (node.gateway().waiting().isEmpty()) {
      return result;
    }
    List<Call> order =
        node.gateway().waiting().stream()
            .map(node.gateway().calls()::get)
            .sorted(
                Comparator.comparing((Call call) -> call.isLate(node.nowMs()))
                    .thenComparingInt(call -> call.route().priority()))
            .toList();
    for (Call call : order) {
      Choice choice = Chooser.choose(result.state(), call);
      if (choice.verdict() == Verdict.CHOSEN) {
        result =
            result.then(next -> CallSteps.send(CallSteps.notWaiting(next, call), call, choice));
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
      return CallSteps.send(node, call, choice);
    }
    return CallSteps.await(node, call, choice.verdict());
  }

  private static Transition<NodeState, Effect> afterFailure(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    return Transition.<NodeState, Effect>of(
            node, CallSteps.attemptFailed(node, call, attempt, result))
        .then(next -> goOnAfterFailure(next, call, attempt, result));
  }

  private static Transition<NodeState, Effect> goOnAfterFailure(
      NodeState node, Call call, Attempt attempt, ForwardResult result) {
    boolean kept = result == ForwardResult.ERROR_ANSWER;
    if (mayRetry(node, call, result)) {
      Choice choice = Chooser.choose(node, call);
      Call waiting = call.delivered() ? call.withWaitsUntilMs(node.nowMs() + RESUME_WAIT_MS) : call;
      boolean canWait = !kept && node.nowMs() < waiting.waitsUntilMs();
      if (choice.verdict() == Verdict.CHOSEN) {
        return CallSteps.send(CallSteps.charge(node, call, result), call, choice);
      }
      if (canWait && choice.verdict() != Verdict.NO_ENGINE) {
        return CallSteps.await(CallSteps.charge(node, waiting, result), waiting, choice.verdict());
      }
    }
    if (kept) {
      long id = call.spec().id();
      return Transition.<NodeState, Effect>of(node, new PassAnswer(id, attempt.number()))
          .then(next -> CallSteps.finish(next, call, CallDecision.Outcome.ENGINE_ERROR));
    }
    boolean notRun = !call.mayHaveRun();
    return CallSteps.fail(
        node,
        call,
        notRun ? Reply.NO_ENGINE : Reply.OUTCOME_UNKNOWN,
        notRun ? CallSteps.RETRY_AFTER_FULL_MS : 0);
  }

  private static boolean mayRetry(NodeState node, Call call, ForwardResult result) {
    boolean affordable =
        result == ForwardResult.CONNECT_FAILED
            || CallSteps.budget(node, call.service()).allowsRetry();
    return affordable
        && call.mayRunAgain()
        && node.nowMs() < call.expiresAtMs()
        && !node.gateway().suspects().bans(call.spec().fingerprint());
  }

  private static Optional<Call> withAttempt(NodeState node, long id, int attempt) {
    return Optional.ofNullable(node.gateway().calls().get(id))
        .filter(call -> call.active().filter(a -> a.number() == attempt).isPresent());
  }
}
