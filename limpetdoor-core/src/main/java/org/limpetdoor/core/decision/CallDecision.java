package org.limpetdoor.core.decision;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.limpetdoor.core.gateway.CallSpec;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.id.BackendId;

/**
 * What was decided about a call that is forwarded by route.
 *
 * @param kind whether it was routed, ended or refused
 * @param call the call
 * @param details what decided it, in the order of the log line
 */
public record CallDecision(DecisionKind kind, Subject call, List<Field> details)
    implements Decision {
  /** Copies the details. */
  public CallDecision {
    details = List.copyOf(details);
  }

  /** What was done about an attempt whose engine was silent. */
  public enum Silence {
    /** The call went on at another engine. */
    MOVED,
    /** It was kept: the call may not run again, or the retry budget is spent. */
    NO_RETRY,
    /** It was kept: no other engine could take the call. */
    NO_OTHER_ENGINE
  }

  /** How a call ended that was not refused. */
  public enum Outcome {
    /** The caller has the whole answer. */
    COMPLETED,
    /** The caller got the failure that the engine answered. */
    ENGINE_ERROR,
    /** The caller left before. */
    CALLER_LEFT
  }

  /**
   * A call as log lines name it.
   *
   * @param label identifier that the caller gave
   * @param route name of the route, or {@code none}
   * @param service name of the service, or {@code none}
   * @param model model or adapter, or {@code none}
   * @param attempts attempts so far
   */
  public record Subject(String label, String route, String service, String model, int attempts) {}

  /** A call was sent to an engine. */
  public static CallDecision routed(Subject call, BackendId engine, int candidates) {
    return new CallDecision(
        DecisionKind.CALL_ROUTED,
        call,
        List.of(Field.of("engine", engine), Field.of("candidates", candidates)));
  }

  /** An attempt failed; what became of the call is told by the next decision. */
  public static CallDecision attemptFailed(
      Subject call, BackendId engine, ForwardResult result, long tookMs) {
    return new CallDecision(
        DecisionKind.CALL_ATTEMPT,
        call,
        List.of(
            Field.of("engine", engine),
            Field.of("reason", result.name().toLowerCase(Locale.ROOT)),
            Field.of("took_ms", tookMs)));
  }

  /** An engine was silent. */
  public static CallDecision silent(
      Subject call, BackendId engine, Silence silence, double retriesLeft) {
    return new CallDecision(
        DecisionKind.CALL_SILENT,
        call,
        List.of(
            Field.of("engine", engine),
            Field.of("reason", silence.name().toLowerCase(Locale.ROOT)),
            Field.of("retries_left", (long) retriesLeft)));
  }

  /** A call ended with an answer of an engine, or its caller left. */
  public static CallDecision ended(Subject call, Outcome outcome, long tookMs) {
    return new CallDecision(
        DecisionKind.CALL_ENDED,
        call,
        List.of(
            Field.of("reason", outcome.name().toLowerCase(Locale.ROOT)),
            Field.of("took_ms", tookMs)));
  }

  /** A call failed or was refused after it was bound to a route. */
  public static CallDecision failed(Subject call, Reply reply, boolean brokenOff, long tookMs) {
    return new CallDecision(
        DecisionKind.CALL_REFUSED,
        call,
        List.of(
            Field.of("reason", reply.label()),
            Field.of("status", reply.status()),
            Field.of("not_run", reply.notRun()),
            Field.of("broken_off", brokenOff),
            Field.of("took_ms", tookMs)));
  }

  /** A call was refused before it was bound to a route. */
  public static CallDecision refused(CallSpec spec, long version, Reply reply) {
    Subject subject = new Subject(spec.callerAttemptId(), "none", "none", "none", 0);
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
    return call.label();
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
    all.addAll(details);
    return all;
  }
}
