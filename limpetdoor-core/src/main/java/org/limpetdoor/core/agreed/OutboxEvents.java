package org.limpetdoor.core.agreed;

import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timer;
import org.limpetdoor.core.TimerKind;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.agreed.Outbox.InFlight;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.event.AppendAnswered;
import org.limpetdoor.core.event.AppendFailed;

/** Reduces events of the appends of this instance. */
public final class OutboxEvents {
  /** Time after which an append without any answer is repeated, in milliseconds. */
  static final long ANSWER_TIMEOUT_MS = 5_000;

  /**
   * Delay before the first retry of a failed append, in milliseconds. It doubles with each further
   * retry.
   */
  static final long INITIAL_BACKOFF_MS = 200;

  /**
   * Longest delay between retries, in milliseconds. Appends resume within this time after an outage
   * of the log.
   */
  static final long MAX_BACKOFF_MS = 2_000;

  private static final int MAX_DOUBLINGS = 10;

  private OutboxEvents() {}

  /**
   * Adds a record to the outbox. It is dropped if the outbox is full, which a caller can check with
   * {@link Outbox#hasCapacity()}.
   */
  public static Transition<NodeState, Effect> submit(NodeState state, LogRecord content) {
    return sendNext(withOutbox(state, outbox(state).plus(content)));
  }

  /** Confirms an append that the log answered with its offset. */
  public static Transition<NodeState, Effect> answered(NodeState state, AppendAnswered event) {
    return confirm(state, event.id());
  }

  /**
   * Schedules the retry of an append that was not answered with an offset. It is repeated with the
   * same identifier.
   */
  public static Transition<NodeState, Effect> failed(NodeState state, AppendFailed event) {
    if (!outbox(state).isInFlight(event.id())) {
      return Transition.of(state);
    }
    InFlight sent = outbox(state).inFlight().get();
    long backoffMs = INITIAL_BACKOFF_MS << Math.min(sent.attempts() - 1, MAX_DOUBLINGS);
    return Transition.of(scheduled(state, sent, Math.min(backoffMs, MAX_BACKOFF_MS)));
  }

  /** Repeats an append when its retry is due, unless it was confirmed or repeated meanwhile. */
  public static Transition<NodeState, Effect> retryDue(NodeState state, String key) {
    boolean current =
        outbox(state).inFlight().filter(sent -> timerKey(sent).equals(key)).isPresent();
    if (!current) {
      return Transition.of(state);
    }
    return send(withOutbox(state, outbox(state).withRetry()));
  }

  /**
   * Confirms an append that is certain to be in the log, by an answer or because it was read back.
   */
  static Transition<NodeState, Effect> confirm(NodeState state, AppendId id) {
    if (!outbox(state).isInFlight(id)) {
      return Transition.of(state);
    }
    return sendNext(withOutbox(state, outbox(state).withoutInFlight()));
  }

  private static Transition<NodeState, Effect> sendNext(NodeState state) {
    Outbox started = outbox(state).withNextInFlight(state.self().appender());
    boolean unchanged = started.lastSequence() == outbox(state).lastSequence();
    return unchanged ? Transition.of(state) : send(withOutbox(state, started));
  }

  private static Transition<NodeState, Effect> send(NodeState state) {
    InFlight sent = outbox(state).inFlight().orElseThrow();
    NodeState next = scheduled(state, sent, ANSWER_TIMEOUT_MS);
    return Transition.of(next, new AppendRecord(sent.envelope()));
  }

  private static NodeState scheduled(NodeState state, InFlight sent, long delayMs) {
    Timer timer = new Timer(state.nowMs() + delayMs, TimerKind.APPEND_RETRY, timerKey(sent));
    return state.withTimers(state.timers().plus(timer));
  }

  private static String timerKey(InFlight sent) {
    return sent.envelope().id().sequence() + "/" + sent.attempts();
  }

  private static Outbox outbox(NodeState state) {
    return state.coordination().outbox();
  }

  private static NodeState withOutbox(NodeState state, Outbox value) {
    return state.withCoordination(state.coordination().withOutbox(value));
  }
}
