package org.limpetdoor.entry;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Supplier;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.limits.LimitMode;
import org.limpetdoor.entry.caller.CallerRequestHandler;
import org.limpetdoor.entry.operator.DrainTrigger;
import org.limpetdoor.entry.operator.OperatorView;
import org.limpetdoor.entry.traffic.AttemptEffects;
import org.limpetdoor.entry.traffic.ControlPlaneEffects;
import org.limpetdoor.entry.traffic.EntryEffects;
import org.limpetdoor.entry.traffic.InstanceListPoller;
import org.limpetdoor.entry.traffic.OpenRequests;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.runtime.ControlLoop;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.decision.DecisionRecorder;
import org.limpetdoor.runtime.decision.LogLine;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.OverloadLog;
import org.limpetdoor.runtime.log.HttpLogService;
import org.limpetdoor.runtime.log.LogFollower;
import org.limpetdoor.runtime.log.LogService;

/** One entry instance. Several instances can run in one process on different ports. */
public final class EntryServer implements AutoCloseable {
  static final String ROLE_PROPERTY = "limpetdoor.entry.role";

  /** Threads that start calls and run timeouts; they do not block on network I/O. */
  private static final int TRAFFIC_THREADS = 2;

  /** Time for the sockets to flush after the last response was passed to the HTTP server. */
  private static final long FLUSH_MS = 200;

  private static final long OVERLOAD_LOG_INTERVAL_MS = 1_000;

  /** Exit code if the control thread ended because the reducer threw an exception. */
  private static final int CONTROL_FAILED_EXIT_CODE = 3;

  private static final Logger LOG = System.getLogger(EntryServer.class.getName());

  private final InstanceSettings settings;
  private final OpenRequests requests = new OpenRequests();
  private final MonotonicClock clock = MonotonicClock.startingNow();
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final DecisionRecorder decisions = new DecisionRecorder(metrics);
  private final BodyMemories memories = BodyMemories.ofHeap();
  private final OverloadLog overloads =
      new OverloadLog(metrics, line -> LOG.log(Level.WARNING, line.toString()), System::nanoTime);
  private final ScheduledExecutorService scheduler;
  private final EntryEffects effects;
  private final ControlLoop<NodeState, Event, Effect> loop;
  private final LogFollower follower;
  private final HttpListener callerListener;
  private final HttpListener operatorListener;
  private final CompletableFuture<DrainResult> drained = new CompletableFuture<>();
  private final AtomicBoolean closed = new AtomicBoolean();

  private EntryServer(
      InstanceSettings settings, LogService log, Reducer<NodeState, Event, Effect> reducer) {
    this.settings = settings;
    Self self = new Self(settings.instance(), System.currentTimeMillis(), settings.zone());
    String name = settings.instance().value();
    this.scheduler = trafficThreads(name);
    this.effects =
        new EntryEffects(
            new AttemptEffects(requests, scheduler, memories.responses(), this::submit),
            new ControlPlaneEffects(name, log, scheduler, this::submit),
            decisions,
            this::onInstanceStopped);
    this.loop =
        new ControlLoop<>(
            "control-" + name,
            NodeState.initial(self),
            reducer,
            clock,
            TimerFired::new,
            effect -> effect.applyTo(effects));
    this.follower =
        new LogFollower("log-" + name, log, clock, read -> loop.submit(atMs -> read.toEvent(atMs)));
    loop.failure().thenAccept(failure -> drainWithoutControl());
    loop.submit(atMs -> new InstanceStarted(atMs, LimitMode.AVAILABLE));
    loop.start();
    follower.start();
    settings
        .instanceListAddress()
        .ifPresent(address -> InstanceListPoller.start(address, scheduler, loop::submit));
    scheduler.scheduleWithFixedDelay(
        overloads::flush,
        OVERLOAD_LOG_INTERVAL_MS,
        OVERLOAD_LOG_INTERVAL_MS,
        TimeUnit.MILLISECONDS);
    this.operatorListener =
        startOrCleanUp(
            () ->
                HttpListener.operators(
                    settings, operatorView(), (DrainTrigger) this::drain, memories, overloads),
            this::stopThreads);
    CallerRequestHandler callerHandler =
        new CallerRequestHandler(self, requests, clock, loop::submit);
    this.callerListener =
        startOrCleanUp(
            () -> HttpListener.callers(settings, callerHandler, memories, overloads),
            this::stopWithoutCallers);
  }

  /**
   * Starts an instance.
   *
   * @param settings settings of the instance; port 0 selects a free port
   * @throws ListenerFailedException if the server cannot listen on an address
   */
  public static EntryServer start(InstanceSettings settings) {
    String address = settings.logAddress().toString();
    return start(settings, new HttpLogService(address, settings.logStream()));
  }

  /**
   * Starts an instance with the given log.
   *
   * @param settings settings of the instance; port 0 selects a free port
   * @param log the log
   */
  public static EntryServer start(InstanceSettings settings, LogService log) {
    return start(settings, log, new NodeReducer());
  }

  /** Starts an instance with the given log and reducer. */
  static EntryServer start(
      InstanceSettings settings, LogService log, Reducer<NodeState, Event, Effect> reducer) {
    EntryServer server = new EntryServer(settings, log, reducer);
    LogLine line =
        LogLine.event("instance_started")
            .with("instance", settings.instance())
            .with("caller_address", server.callerAddress())
            .with("operator_address", server.operatorAddress());
    LOG.log(Level.INFO, line.toString());
    return server;
  }

  /** Returns the address on which callers connect. */
  public HostPort callerAddress() {
    return callerListener.address();
  }

  /** Returns the address on which operators connect. */
  public HostPort operatorAddress() {
    return operatorListener.address();
  }

  /** Returns the state after the last event. */
  public NodeState state() {
    return loop.state();
  }

  /** Returns the exit code of the process for the given drain result. */
  int exitCode(DrainResult result) {
    return loop.failure().isDone() ? CONTROL_FAILED_EXIT_CODE : result.exitCode();
  }

  /**
   * Stops accepting requests. The future completes when no request is open or when the drain
   * timeout of the settings expires. It does not close the server.
   */
  public CompletableFuture<DrainResult> drain() {
    loop.submit(atMs -> new DrainRequested(atMs, settings.drainTimeoutMs()));
    return drained;
  }

  /** Returns a future that completes when a drain ends or the server is closed. */
  public CompletableFuture<DrainResult> drained() {
    return drained;
  }

  /** Stops immediately. Call {@link #drain()} first to let open requests end. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    callerListener.close();
    stopWithoutCallers();
    metrics.close();
    drained.complete(DrainResult.CLOSED);
  }

  private static HttpListener startOrCleanUp(Supplier<HttpListener> start, Runnable cleanUp) {
    try {
      return start.get();
    } catch (RuntimeException e) {
      cleanUp.run();
      throw e;
    }
  }

  private void stopWithoutCallers() {
    stopThreads();
    operatorListener.close();
  }

  private void stopThreads() {
    follower.close();
    effects.close();
    loop.close();
    scheduler.shutdownNow();
  }

  private void onInstanceStopped(StopInstance.Reason reason) {
    if (reason == StopInstance.Reason.TIMED_OUT) {
      completeAfterFlush(DrainResult.TIMED_OUT);
    } else {
      requests.awaitEmpty().thenRun(() -> completeAfterFlush(DrainResult.ALL_ENDED));
    }
  }

  /** Drains open requests after the reducer has failed, which can no longer refuse or end them. */
  private void drainWithoutControl() {
    scheduler.schedule(
        () -> drained.complete(DrainResult.TIMED_OUT),
        settings.drainTimeoutMs(),
        TimeUnit.MILLISECONDS);
    requests.drain().thenRun(() -> completeAfterFlush(DrainResult.ALL_ENDED));
  }

  /** Leaves time for the last bytes to leave the sockets. */
  private void completeAfterFlush(DrainResult result) {
    scheduler.schedule(() -> drained.complete(result), FLUSH_MS, TimeUnit.MILLISECONDS);
  }

  /** Breaks the cycle between effects and loop; no event is submitted before both are created. */
  private void submit(Function<Long, Event> event) {
    loop.submit(event);
  }

  private OperatorView operatorView() {
    return new OperatorView(loop::state, requests, decisions, metrics, clock, follower::hasRead);
  }

  private static ScheduledExecutorService trafficThreads(String name) {
    ScheduledThreadPoolExecutor threads =
        new ScheduledThreadPoolExecutor(TRAFFIC_THREADS, task -> daemon(task, "traffic-" + name));
    threads.setRemoveOnCancelPolicy(true);
    return threads;
  }

  private static Thread daemon(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }
}
