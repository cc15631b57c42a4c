package org.limpetdoor.entry.traffic;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.effect.AppendRecord;
import org.limpetdoor.core.effect.RequestInventory;
import org.limpetdoor.core.effect.SendOrder;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.runtime.log.LogService;

/** Carries out the effects that concern the log and the control interfaces of engines. */
public final class AgreementEffects implements AutoCloseable {
  private final LogAppender appender;
  private final EngineControl engines;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates a handler.
   *
   * @param name name of the instance, for the thread of the appends
   * @param log the log
   * @param scheduler opens calls
   * @param events where answers are reported
   */
  public AgreementEffects(
      String name,
      LogService log,
      ScheduledExecutorService scheduler,
      Consumer<Function<Long, Event>> events) {
    this.appender = new LogAppender(name, log, events);
    this.engines = new EngineControl(new ControlCalls(scheduler), events);
    this.scheduler = scheduler;
  }

  void appendRecord(AppendRecord effect) {
    appender.append(effect.envelope());
  }

  void sendOrder(SendOrder effect) {
    long receivedNanos = System.nanoTime();
    execute(() -> engines.send(effect, receivedNanos));
  }

  void requestInventory(RequestInventory effect) {
    execute(() -> engines.ask(effect));
  }

  @Override
  public void close() {
    appender.close();
  }

  /** After the scheduler was shut down, the instance no longer takes part. */
  private void execute(Runnable call) {
    try {
      scheduler.execute(call);
    } catch (RejectedExecutionException e) {
      appender.close();
    }
  }
}
