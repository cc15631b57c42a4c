package org.limpetdoor.core.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Collectors;
import org.limpetdoor.core.gateway.CallSpec;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.limits.AllowanceVerdict;

/**
 * Decision about a call that is forwarded by route.
 *
 * @param kind kind of the decision, for example that the call was routed, ended or refused
 * @param call the call
 * @param details further fields, in the order of the log line
 */
public record CallDecision(DecisionKind kind, Subject call, List<Field> details)
    implements Decision {
  private static final int PERCENT = 100;

  /** Copies the details. */
  public CallDecision {
    details = List.copyOf(details);
  }

  /** Reaction to an attempt whose engine was silent. */
  public enum SilenceOutcome {
    /** The call was moved to another engine. */
    MOVED,
    /** The attempt was kept: the call may not run again, or the retry budget is exhausted. */
    NO_RETRY,
    /** The attempt was kept: no other engine could accept the call. */
    NO_OTHER_ENGINE
  }

  /** Outcome of a call that was not refused. */
  public enum Outcome {
    /** The caller received the complete response. */
    COMPLETED,
    /** The caller received the error response of the engine. */
    ENGINE_ERROR,
    /** The caller disconnected before the end of the response. */
    CALLER_LEFT
  }

  /**
   * Fields that identify a call in log lines.
   *
   * @param callerAttemptId identifier of the attempt, set by the caller
   * @param route name of the route, or {@code none}
   * @param service name of the service, or {@code none}
   * @param model model or adapter, or {@code none}
   * @param attempts number of attempts so far
   * @param account name of the caller's account, if it is known
   */
  public record Subject(
      String callerAttemptId,
      String route,
      String service,
      String model,
      int attempts,
      Optional<String> account) {}

  /**
   * Failure or refusal of a call for which a route was found.
   *
   * @param reply reply to the caller, unless the response was aborted
   * @param cause why the call was not sent to another engine
   * @param aborted whether the caller had received part of a response
   * @param tookMs time since the arrival of the call, in milliseconds
   * @param retriesLeft retries left in the budget of the service
   * @param timeLeftMs time until the deadline of the call, in milliseconds
   */
  public record Failure(
      Reply reply,
      FailureCause cause,
      boolean aborted,
      long tookMs,
      double retriesLeft,
      long timeLeftMs) {}

  /** Returns the decision to send a call to an engine. */
  public static CallDecision routed(Subject call, BackendId engine, int candidates) {
    return new CallDecision(
        DecisionKind.CALL_ROUTED,
        call,
        List.of(Field.of("engine", engine), Field.of("candidates", candidates)));
  }

  /** Returns the decision to send a call of an account, with the time for which it waited. */
  public static CallDecision routed(Subject call, BackendId engine, int candidates, long waitedMs) {
    return new CallDecision(
        DecisionKind.CALL_ROUTED,
        call,
        List.of(
            Field.of("engine", engine),
            Field.of("candidates", candidates),
            Field.of("waited_ms", waitedMs)));
  }

  /**
   * Failed attempt of a call.
   *
   * @param engine engine that the attempt was sent to
   * @param result why it failed
   * @param tookMs time since it was sent, in milliseconds
   * @param started whether the engine had begun to answer
   * @param sharedPromptParts identifiers of the prompt parts that other requests may share
   */
  public record FailedAttempt(
      BackendId engine,
      ForwardResult result,
      long tookMs,
      boolean started,
      List<Long> sharedPromptParts) {}

  /**
   * Returns the decision that records a failed attempt. A further decision reports whether the call
   * is retried.
   */
  public static CallDecision attemptFailed(Subject call, FailedAttempt attempt) {
    return new CallDecision(
        DecisionKind.CALL_ATTEMPT,
        call,
        List.of(
            Field.of("engine", attempt.engine()),
            Field.of("reason", attempt.result().name().toLowerCase(Locale.ROOT)),
            Field.of("took_ms", attempt.tookMs()),
            Field.of("started", attempt.started()),
            Field.of("prompt_parts", hexList(attempt.sharedPromptParts()))));
  }

  private static String hexList(List<Long> values) {
    return values.isEmpty()
        ? "none"
        : values.stream().map(Long::toHexString).collect(Collectors.joining(","));
  }

  /** Returns the decision that records the reaction to a silent engine. */
  public static CallDecision silent(
      Subject call, BackendId engine, SilenceOutcome outcome, double retriesLeft) {
    return new CallDecision(
        DecisionKind.CALL_SILENT,
        call,
        List.of(
            Field.of("engine", engine),
            Field.of("reason", outcome.name().toLowerCase(Locale.ROOT)),
            Field.of("retries_left", (long) retriesLeft)));
  }

  /**
   * Returns the decision that records the end of a call with a response of an engine, or because
   * its caller disconnected.
   */
  public static CallDecision ended(Subject call, Outcome outcome, long tookMs) {
    return new CallDecision(
        DecisionKind.CALL_ENDED,
        call,
        List.of(
            Field.of("reason", outcome.name().toLowerCase(Locale.ROOT)),
            Field.of("took_ms", tookMs)));
  }

  /**
   * Returns the decision that records the failure or refusal of a call for which a route was found.
   */
  public static CallDecision failed(Subject call, Failure failure) {
    Reply reply = failure.reply();
    return new CallDecision(
        DecisionKind.CALL_REFUSED,
        call,
        List.of(
            Field.of("reason", reply.label()),
            Field.of("status", reply.status()),
            Field.of("not_run", reply.notRun()),
            Field.of("broken_off", failure.aborted()),
            Field.of("took_ms", failure.tookMs()),
            Field.of("cause", failure.cause().label()),
            Field.of("retries_left", (long) failure.retriesLeft()),
            Field.of("time_left_ms", failure.timeLeftMs())));
  }

  /** Returns the decision that records the refusal of a call over the allowance of its account. */
  public static CallDecision overAllowance(
      Subject call, Reply reply, AllowanceVerdict verdict, double cost) {
    return new CallDecision(
        DecisionKind.CALL_REFUSED,
        call,
        List.of(
            Field.of("reason", reply.label()),
            Field.of("status", reply.status()),
            Field.of("not_run", reply.notRun()),
            Field.of("broken_off", false),
            Field.of("cause", verdict.reason().label()),
            Field.of("cost", Math.round(cost)),
            Field.of("admitted_percent", Math.round(verdict.admittedPart() * PERCENT)),
            Field.of("coverage_percent", Math.round(verdict.coverage() * PERCENT)),
            Field.of("retry_after_ms", verdict.retryAfterMs())));
  }

  /**
   * Returns the decision that records that the connection of a caller was closed before the caller
   * had received a complete response.
   */
  public static CallDecision connectionClosed(
      Optional<Subject> call, ConnectionCloseReason reason, RequestProgress progress) {
    return new CallDecision(
        DecisionKind.CALLER_CLOSED,
        call.orElse(new Subject("none", "none", "none", "none", 0, Optional.empty())),
        List.of(Field.of("reason", reason.label()), Field.of("request", progress.label())));
  }

  /** Returns the decision that records the refusal of a call for which no route was selected. */
  public static CallDecision refused(CallSpec spec, long version, Reply reply) {
    Subject subject =
        new Subject(spec.callerAttemptId(), "none", "none", "none", 0, Optional.empty());
    return new CallDecision(
        DecisionKind.CALL_REFUSED,
        subject,
        List.of(
            Field.of("reason", reply.label()),
            Field.of("status", reply.status()),
            Field.of("not_run", reply.notRun()),
            Field.of("host", spec.host()),
            Field.of("path", spec.path()),
            Field.of("version", version)));
  }

  @Override
  public String subject() {
    return call.callerAttemptId();
  }

  @Override
  public List<Field> fields() {
    List<Field> all =
        new ArrayList<>(
            List.of(
                Field.of("route", call.route()),
                Field.of("service", call.service()),
                Field.of("model", call.model()),
                Field.of("attempts", call.attempts())));
    call.account().ifPresent(account -> all.add(Field.of("account", account)));
    all.addAll(details);
    return all;
  }
}
