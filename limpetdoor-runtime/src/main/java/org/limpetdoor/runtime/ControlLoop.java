package org.limpetdoor.runtime;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;

/**
 * Runs a reducer on a control thread, which takes events from one queue, reduces them and passes
 * the effects to a consumer. Only this thread changes the state; other threads may read the current
 * state, which is immutable. The thread blocks while there is no event and no timer is due.
 *
 * @param <S> type of the state
 * @param <E> type of the events
 * @param <F> type of the effects
 */
public final class ControlLoop<S extends Timed, E, F> implements AutoCloseable {
  private static final Logger LOG = System.getLogger(ControlLoop.class.getName());
  private static final long JOIN_TIMEOUT_MS = 5_000;

  private final Reducer<S, E, F> reducer;
  private final MonotonicClock clock;
  private final LongFunction<E> timerEventFactory;
  private final Consumer<F> effectHandler;
  private final LongFunction<Optional<E>> check;
  private final BlockingQueue<Function<Long, E>> queue = new LinkedBlockingQueue<>();
  private final AtomicReference<S> state;
  private final CompletableFuture<ReducerFailedException> failure = new CompletableFuture<>();
  private final Thread thread;

  /**
   * Creates a loop. {@link #start()} starts its thread.
   *
   * @param name name of the thread
   * @param initial initial state
   * @param reducer reducer that makes the decisions
   * @param clock clock for the times of events
   * @param timerEventFactory creates the event of a timer that is due, from the time in monotonic
   *     milliseconds
   * @param effectHandler executes effects; must not block
   */
  public ControlLoop(
      String name,
      S initial,
      Reducer<S, E, F> reducer,
      MonotonicClock clock,
      LongFunction<E> timerEventFactory,
      Consumer<F> effectHandler) {
    this(
        name, initial, reducer, clock, timerEventFactory, effectHandler, nowMs -> Optional.empty());
  }

  /**
   * Creates a loop that makes a check before each event.
   *
   * @param name name of the thread
   * @param initial initial state
   * @param reducer reducer that makes the decisions
   * @param clock clock for the times of events
   * @param timerEventFactory creates the event of a timer that is due, from the time in monotonic
   *     milliseconds
   * @param effectHandler executes effects; must not block
   * @param check returns an event that is reduced before the next one, if there is any, from the
   *     time in monotonic milliseconds; called on the control thread
   */
  public ControlLoop(
      String name,
      S initial,
      Reducer<S, E, F> reducer,
      MonotonicClock clock,
      LongFunction<E> timerEventFactory,
      Consumer<F> effectHandler,
      LongFunction<Optional<E>> check) {
    this.check = check;
    this.reducer = reducer;
    this.clock = clock;
    this.timerEventFactory = timerEventFactory;
    this.effectHandler = effectHandler;
    this.state = new AtomicReference<>(initial);
    this.thread = new Thread(this::run, name);
    this.thread.setDaemon(true);
  }

  /** Starts the control thread. */
  public void start() {
    thread.start();
  }

  /**
   * Adds an event to the queue. The control thread assigns the time of the event when it takes it,
   * so that the times of consecutive events never decrease.
   *
   * @param eventFactory creates the event from its time in monotonic milliseconds
   */
  public void submit(Function<Long, E> eventFactory) {
    queue.add(eventFactory);
  }

  /** Returns the state after the last reduced event. */
  public S state() {
    return state.get();
  }

  /** Returns a future that completes if the reducer throws, which ends the loop. */
  public CompletableFuture<ReducerFailedException> failure() {
    return failure;
  }

  @Override
  public void close() {
    thread.interrupt();
    try {
      thread.join(JOIN_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        E event = nextEvent();
        check.apply(clock.nowMs()).ifPresent(this::process);
        process(event);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      ReducerFailedException failed = new ReducerFailedException(e);
      LOG.log(Level.ERROR, "event=control_loop_failed thread=" + thread.getName(), failed);
      failure.complete(failed);
    }
  }

  private E nextEvent() throws InterruptedException {
    long deadlineMs = state.get().nextDeadlineMs();
    if (deadlineMs == Timed.NEVER_MS) {
      return queue.take().apply(clock.nowMs());
    }
    Function<Long, E> eventFactory =
        queue.poll(Math.max(0, deadlineMs - clock.nowMs()), TimeUnit.MILLISECONDS);
    long nowMs = clock.nowMs();
    return eventFactory == null ? timerEventFactory.apply(nowMs) : eventFactory.apply(nowMs);
  }

  private void process(E event) {
    Transition<S, F> transition = reducer.reduce(state.get(), event);
    state.set(transition.state());
    transition.effects().forEach(effectHandler);
  }
}
