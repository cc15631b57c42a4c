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

/** Executes the effects that append to the log or call the control interfaces of engines. */
public final class ControlPlaneEffects implements AutoCloseable {
  private final LogAppender appender;
  private final EngineControl engineControl;
  private final ScheduledExecutorService scheduler;

  /**
   * Creates a handler.
   *
   * @param name name of the instance, used in the name of the append thread
   * @param log the log
   * @param scheduler executor for calls to engines
   * @param events receives an event as a function of its time in monotonic milliseconds
   */
  public ControlPlaneEffects(
      String name,
      LogService log,
      ScheduledExecutorService scheduler,
      Consumer<Function<Long, Event>> events) {
    this.appender = new LogAppender(name, log, events);
    this.engineControl = new EngineControl(new ControlClient(scheduler), events);
    this.scheduler = scheduler;
  }

  void appendRecord(AppendRecord effect) {
    appender.append(effect.envelope());
  }

  void sendOrder(SendOrder effect) {
    long receivedNanos = System.nanoTime();
    execute(() -> engineControl.sendOrder(effect, receivedNanos));
  }

  void requestInventory(RequestInventory effect) {
    execute(() -> engineControl.requestInventory(effect));
  }

  @Override
  public void close() {
    appender.close();
  }

  /** Drops the call and stops appending if the scheduler was shut down. */
  private void execute(Runnable call) {
    try {
      scheduler.execute(call);
    } catch (RejectedExecutionException e) {
      appender.close();
    }
  }
}
