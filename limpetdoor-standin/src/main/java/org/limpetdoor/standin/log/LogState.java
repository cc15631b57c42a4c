package org.limpetdoor.standin.log;

import java.util.List;
import java.util.Map;
import org.limpetdoor.core.Transition;
import org.limpetdoor.standin.DelayedEffects;
import org.limpetdoor.standin.StandinState;
import org.limpetdoor.standin.effect.CloseConnection;
import org.limpetdoor.standin.effect.SendResponse;
import org.limpetdoor.standin.effect.StandinEffect;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePVector;

/**
 * State of the log service.
 *
 * @param settings settings
 * @param streams streams by name
 * @param pendingAppends appends that wait for the rate limit
 * @param waitingReads reads that wait for records
 * @param nextAppendMs earliest time of the next append in monotonic milliseconds
 * @param faults active faults
 * @param delayedEffects delayed responses
 */
public record LogState(
    LogSettings settings,
    PMap<String, LogStream> streams,
    PVector<PendingAppend> pendingAppends,
    PVector<WaitingRead> waitingReads,
    double nextAppendMs,
    LogFaults faults,
    DelayedEffects delayedEffects)
    implements StandinState<LogState> {
  private static final int UNAVAILABLE = 503;

  static LogState initial(LogSettings settings) {
    return new LogState(
        settings,
        HashTreePMap.empty(),
        TreePVector.empty(),
        TreePVector.empty(),
        0,
        LogFaults.NONE,
        DelayedEffects.NONE);
  }

  @Override
  public long nextDeadlineMs() {
    long next = delayedEffects.nextDeadlineMs();
    if (!pendingAppends.isEmpty()) {
      next = Math.min(next, (long) Math.ceil(nextAppendMs));
    }
    for (WaitingRead read : waitingReads) {
      next = Math.min(next, read.deadlineMs);
    }
    if (settings.retainMs() > 0) {
      for (LogStream stream : streams.values()) {
        next = Math.min(next, stream.nextExpiryMs(settings.retainMs()));
      }
    }
    return next;
  }

  @Override
  public Transition<LogState, StandinEffect> advance(long nowMs) {
    Transition<LogState, StandinEffect> transition =
        new Transition<LogState, StandinEffect>(
                expire(nowMs).withDelayedEffects(delayedEffects.dueAfter(nowMs)),
                delayedEffects.dueAt(nowMs))
            .then(s -> s.processDueAppends(nowMs));
    for (WaitingRead read : transition.state().waitingReads) {
      if (read.deadlineMs <= nowMs) {
        transition = transition.then(s -> s.finishRead(read, nowMs));
      }
    }
    return transition;
  }

  Transition<LogState, StandinEffect> append(
      long exchangeId, String stream, String body, long nowMs) {
    if (faults.outage()) {
      return refuse(exchangeId);
    }
    return withPendingAppends(pendingAppends.plus(new PendingAppend(exchangeId, stream, body)))
        .processDueAppends(nowMs);
  }

  Transition<LogState, StandinEffect> read(WaitingRead read, long nowMs) {
    if (faults.outage()) {
      return refuse(read.exchangeId);
    }
    boolean available = stream(read.stream).nextOffset() > read.from;
    if (available || read.deadlineMs <= nowMs) {
      return finishRead(read, nowMs);
    }
    return Transition.of(withWaitingReads(waitingReads.plus(read)));
  }

  /** Refuses all waiting requests. Appends that were waiting have not taken effect. */
  Transition<LogState, StandinEffect> refuseWaiting() {
    Transition<LogState, StandinEffect> transition =
        Transition.of(
            withPendingAppends(TreePVector.empty()).withWaitingReads(TreePVector.empty()));
    for (PendingAppend append : pendingAppends) {
      transition = transition.then(s -> s.refuse(append.exchangeId));
    }
    for (WaitingRead read : waitingReads) {
      transition = transition.then(s -> s.refuse(read.exchangeId));
    }
    return transition;
  }

  private Transition<LogState, StandinEffect> processDueAppends(long nowMs) {
    Transition<LogState, StandinEffect> transition = Transition.of(this);
    while (!transition.state().pendingAppends.isEmpty()
        && transition.state().nextAppendMs <= nowMs) {
      transition = transition.then(s -> s.processNextAppend(nowMs));
    }
    return transition;
  }

  private Transition<LogState, StandinEffect> processNextAppend(long nowMs) {
    PendingAppend append = pendingAppends.get(0);
    LogStream extended = stream(append.stream).append(nowMs, append.body, settings);
    double nextMs = Math.max(nextAppendMs, nowMs) + settings.appendIntervalMs();
    LogState next =
        new LogState(
            settings,
            streams.plus(append.stream, extended),
            pendingAppends.minus(0),
            waitingReads,
            nextMs,
            faults,
            delayedEffects);
    return next.confirmAppend(append.exchangeId, extended.nextOffset() - 1, nowMs)
        .then(s -> s.completeReads(append.stream, nowMs));
  }

  private Transition<LogState, StandinEffect> confirmAppend(
      long exchangeId, long offset, long nowMs) {
    if (faults.responsesToDrop() > 0) {
      LogState next = withFaults(faults.withResponsesToDrop(faults.responsesToDrop() - 1));
      return Transition.of(next, new CloseConnection(exchangeId));
    }
    return respond(SendResponse.ok(exchangeId, Map.of("offset", offset)), nowMs);
  }

  private Transition<LogState, StandinEffect> completeReads(String stream, long nowMs) {
    Transition<LogState, StandinEffect> transition = Transition.of(this);
    for (WaitingRead read : waitingReads) {
      if (read.stream.equals(stream) && stream(stream).nextOffset() > read.from) {
        transition = transition.then(s -> s.finishRead(read, nowMs));
      }
    }
    return transition;
  }

  private Transition<LogState, StandinEffect> finishRead(WaitingRead read, long nowMs) {
    Object body = stream(read.stream).read(read.from, read.max);
    return withWaitingReads(waitingReads.minus(read))
        .respond(SendResponse.ok(read.exchangeId, body), nowMs);
  }

  private Transition<LogState, StandinEffect> respond(SendResponse response, long nowMs) {
    return faults.delayMs() == 0
        ? Transition.of(this, response)
        : Transition.of(
            withDelayedEffects(delayedEffects.plus(nowMs + faults.delayMs(), response)));
  }

  private Transition<LogState, StandinEffect> refuse(long exchangeId) {
    return Transition.of(this, SendResponse.error(exchangeId, UNAVAILABLE, "outage"));
  }

  private LogStream stream(String name) {
    return streams.getOrDefault(name, LogStream.EMPTY);
  }

  private LogState expire(long nowMs) {
    if (settings.retainMs() == 0) {
      return this;
    }
    PMap<String, LogStream> retained = streams;
    for (Map.Entry<String, LogStream> entry : List.copyOf(streams.entrySet())) {
      retained = retained.plus(entry.getKey(), entry.getValue().expire(nowMs, settings.retainMs()));
    }
    return new LogState(
        settings, retained, pendingAppends, waitingReads, nextAppendMs, faults, delayedEffects);
  }

  LogState withFaults(LogFaults value) {
    return new LogState(
        settings, streams, pendingAppends, waitingReads, nextAppendMs, value, delayedEffects);
  }

  private LogState withPendingAppends(PVector<PendingAppend> value) {
    return new LogState(
        settings, streams, value, waitingReads, nextAppendMs, faults, delayedEffects);
  }

  private LogState withWaitingReads(PVector<WaitingRead> value) {
    return new LogState(
        settings, streams, pendingAppends, value, nextAppendMs, faults, delayedEffects);
  }

  private LogState withDelayedEffects(DelayedEffects value) {
    return new LogState(
        settings, streams, pendingAppends, waitingReads, nextAppendMs, faults, value);
  }

  /** An append that waits for the rate limit. */
  record PendingAppend(long exchangeId, String stream, String body) {}

  /** A read that waits for records until a time in monotonic milliseconds. */
  record WaitingRead(long exchangeId, String stream, long from, int max, long deadlineMs) {}
}
