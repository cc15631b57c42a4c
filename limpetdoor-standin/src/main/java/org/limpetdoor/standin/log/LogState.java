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
 * @param appends appends that wait for the rate limit
 * @param readers reads that wait for records
 * @param nextAppendMs earliest time of the next append in monotonic milliseconds
 * @param faults active faults
 * @param delayedEffects delayed responses
 */
public record LogState(
    LogSettings settings,
    PMap<String, LogStream> streams,
    PVector<PendingAppend> appends,
    PVector<WaitingRead> readers,
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
    if (!appends.isEmpty()) {
      next = Math.min(next, (long) Math.ceil(nextAppendMs));
    }
    for (WaitingRead reader : readers) {
      next = Math.min(next, reader.untilMs);
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
    Transition<LogState, StandinEffect> done =
        new Transition<LogState, StandinEffect>(
                expire(nowMs).withDelayedEffects(delayedEffects.dueAfter(nowMs)),
                delayedEffects.dueAt(nowMs))
            .then(s -> s.appendDue(nowMs));
    for (WaitingRead reader : done.state().readers) {
      if (reader.untilMs <= nowMs) {
        done = done.then(s -> s.finishRead(reader, nowMs));
      }
    }
    return done;
  }

  Transition<LogState, StandinEffect> append(
      long exchangeId, String stream, String body, long nowMs) {
    if (faults.outage()) {
      return outage(exchangeId);
    }
    return withAppends(appends.plus(new PendingAppend(exchangeId, stream, body))).appendDue(nowMs);
  }

  Transition<LogState, StandinEffect> read(WaitingRead reader, long nowMs) {
    if (faults.outage()) {
      return outage(reader.exchangeId);
    }
    boolean available = stream(reader.stream).nextOffset() > reader.from;
    if (available || reader.untilMs <= nowMs) {
      return finishRead(reader, nowMs);
    }
    return Transition.of(withReaders(readers.plus(reader)));
  }

  /** Refuses all waiting requests. Appends that were waiting have not taken effect. */
  Transition<LogState, StandinEffect> refuseWaiting() {
    Transition<LogState, StandinEffect> done =
        Transition.of(withAppends(TreePVector.empty()).withReaders(TreePVector.empty()));
    for (PendingAppend append : appends) {
      done = done.then(s -> s.outage(append.exchangeId));
    }
    for (WaitingRead reader : readers) {
      done = done.then(s -> s.outage(reader.exchangeId));
    }
    return done;
  }

  private Transition<LogState, StandinEffect> appendDue(long nowMs) {
    Transition<LogState, StandinEffect> done = Transition.of(this);
    while (!done.state().appends.isEmpty() && done.state().nextAppendMs <= nowMs) {
      done = done.then(s -> s.appendFirst(nowMs));
    }
    return done;
  }

  private Transition<LogState, StandinEffect> appendFirst(long nowMs) {
    PendingAppend append = appends.get(0);
    LogStream longer = stream(append.stream).append(nowMs, append.body, settings);
    double nextMs = Math.max(nextAppendMs, nowMs) + settings.appendIntervalMs();
    LogState next =
        new LogState(
            settings,
            streams.plus(append.stream, longer),
            appends.minus(0),
            readers,
            nextMs,
            faults,
            delayedEffects);
    return next.confirm(append.exchangeId, longer.nextOffset() - 1, nowMs)
        .then(s -> s.wakeReaders(append.stream, nowMs));
  }

  private Transition<LogState, StandinEffect> confirm(long exchangeId, long offset, long nowMs) {
    if (faults.loseAnswers() > 0) {
      LogState next = withFaults(faults.withLoseAnswers(faults.loseAnswers() - 1));
      return Transition.of(next, new CloseConnection(exchangeId));
    }
    return respond(SendResponse.ok(exchangeId, Map.of("offset", offset)), nowMs);
  }

  private Transition<LogState, StandinEffect> wakeReaders(String stream, long nowMs) {
    Transition<LogState, StandinEffect> done = Transition.of(this);
    for (WaitingRead reader : readers) {
      if (reader.stream.equals(stream) && stream(stream).nextOffset() > reader.from) {
        done = done.then(s -> s.finishRead(reader, nowMs));
      }
    }
    return done;
  }

  private Transition<LogState, StandinEffect> finishRead(WaitingRead reader, long nowMs) {
    Object body = stream(reader.stream).read(reader.from, reader.max);
    return withReaders(readers.minus(reader))
        .respond(SendResponse.ok(reader.exchangeId, body), nowMs);
  }

  private Transition<LogState, StandinEffect> respond(SendResponse response, long nowMs) {
    return faults.delayMs() == 0
        ? Transition.of(this, response)
        : Transition.of(
            withDelayedEffects(delayedEffects.plus(nowMs + faults.delayMs(), response)));
  }

  private Transition<LogState, StandinEffect> outage(long exchangeId) {
    return Transition.of(this, SendResponse.error(exchangeId, UNAVAILABLE, "outage"));
  }

  private LogStream stream(String name) {
    return streams.getOrDefault(name, LogStream.EMPTY);
  }

  private LogState expire(long nowMs) {
    if (settings.retainMs() == 0) {
      return this;
    }
    PMap<String, LogStream> kept = streams;
    for (Map.Entry<String, LogStream> entry : List.copyOf(streams.entrySet())) {
      kept = kept.plus(entry.getKey(), entry.getValue().expire(nowMs, settings.retainMs()));
    }
    return new LogState(settings, kept, appends, readers, nextAppendMs, faults, delayedEffects);
  }

  LogState withFaults(LogFaults value) {
    return new LogState(settings, streams, appends, readers, nextAppendMs, value, delayedEffects);
  }

  private LogState withAppends(PVector<PendingAppend> value) {
    return new LogState(settings, streams, value, readers, nextAppendMs, faults, delayedEffects);
  }

  private LogState withReaders(PVector<WaitingRead> value) {
    return new LogState(settings, streams, appends, value, nextAppendMs, faults, delayedEffects);
  }

  private LogState withDelayedEffects(DelayedEffects value) {
    return new LogState(settings, streams, appends, readers, nextAppendMs, faults, value);
  }

  /** An append that waits for the rate limit. */
  record PendingAppend(long exchangeId, String stream, String body) {}

  /** A read that waits for records until a time in monotonic milliseconds. */
  record WaitingRead(long exchangeId, String stream, long from, int max, long untilMs) {}
}
