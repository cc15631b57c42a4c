package org.limpetdoor.entry.traffic;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.agreed.AppendFailure;
import org.limpetdoor.core.agreed.AppendId;
import org.limpetdoor.core.agreed.Envelope;
import org.limpetdoor.core.event.AppendAnswered;
import org.limpetdoor.core.event.AppendFailed;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.format.record.LogRecordCodec;
import org.limpetdoor.format.record.MalformedRecordException;
import org.limpetdoor.runtime.decision.LogLine;
import org.limpetdoor.runtime.log.LogService;
import org.limpetdoor.runtime.log.LogServiceException;

/** Appends to the log on a dedicated thread, because appends block until the log responds. */
final class LogAppender implements AutoCloseable {
  private static final Logger LOG = System.getLogger(LogAppender.class.getName());

  private final LogService log;
  private final Consumer<Function<Long, Event>> events;
  private final ExecutorService executor;

  LogAppender(String name, LogService log, Consumer<Function<Long, Event>> events) {
    this.log = log;
    this.events = events;
    this.executor = Executors.newSingleThreadExecutor(task -> daemon(task, "append-" + name));
  }

  void append(Envelope envelope) {
    try {
      executor.execute(() -> appendAndReport(envelope));
    } catch (RejectedExecutionException e) {
      LOG.log(Level.DEBUG, "event=append_after_close id=" + envelope.id());
    }
  }

  @Override
  public void close() {
    executor.shutdownNow();
  }

  private void appendAndReport(Envelope envelope) {
    AppendId id = envelope.id();
    try {
      long offset = log.append(LogRecordCodec.encode(envelope));
      events.accept(atMs -> new AppendAnswered(atMs, id, offset));
    } catch (RuntimeException e) {
      LogLine line = LogLine.event("append_failed").with("id", id).with("reason", e.getMessage());
      LOG.log(Level.WARNING, line.toString());
      AppendFailure failure = failureOf(e);
      events.accept(atMs -> new AppendFailed(atMs, id, failure));
    }
  }

  /** Reports the outcome as unknown unless the append certainly had no effect. */
  private static AppendFailure failureOf(RuntimeException e) {
    boolean notSent = e instanceof MalformedRecordException;
    boolean refused =
        e instanceof LogServiceException serviceFailure
            && !serviceFailure.failure().mayHaveTakenEffect();
    return notSent || refused ? AppendFailure.NOT_TAKEN : AppendFailure.OUTCOME_UNKNOWN;
  }

  private static Thread daemon(Runnable task, String name) {
    Thread created = new Thread(task, name);
    created.setDaemon(true);
    return created;
  }
}
