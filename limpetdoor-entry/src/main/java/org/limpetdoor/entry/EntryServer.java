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
import org.limpetdoor.entry.caller.CallerGateway;
import org.limpetdoor.entry.operator.DrainSwitch;
import org.limpetdoor.entry.operator.OperatorView;
import org.limpetdoor.entry.traffic.AgreementEffects;
import org.limpetdoor.entry.traffic.EntryEffects;
import org.limpetdoor.entry.traffic.InstanceListPoller;
import org.limpetdoor.entry.traffic.OpenRequests;
import org.limpetdoor.entry.traffic.UpstreamEffects;
import org.limpetdoor.format.json.HostPort;
import org.limpetdoor.format.settings.InstanceSettings;
import org.limpetdoor.runtime.ControlLoop;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.decision.DecisionRecorder;
import org.limpetdoor.runtime.decision.LogLine;
import org.limpetdoor.runtime.log.HttpLogService;
import org.limpetdoor.runtime.log.LogFollower;
import org.limpetdoor.runtime.log.LogService;

/** One instance of limpetdoor. Several can run in one process on different ports. */
public final class EntryServer implements AutoCloseable {
  static final String ROLE_PROPERTY = "limpetdoor.entry.role";

  /** Threads that open calls and run timeouts; they never wait for the network. */
  private static final int TRAFFIC_THREADS = 2;

  /** Time for the last bytes to leave the sockets after the last answer was handed over. */
  private static final long FLUSH_MS = 200;

  /** Exit code after the control thread has ended because the reducer threw. */
  private static final int CONTROL_FAILED = 3;

  private static final Logger LOG = System.getLogger(EntryServer.class.getName());

  private final InstanceSettings settings;
  private final OpenRequests requests = new OpenRequests();
  private final MonotonicClock clock = MonotonicClock.startingNow();
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final DecisionRecorder decisions = new DecisionRecorder(metrics);
  private final ScheduledExecutorService scheduler;
  private final EntryEffects effects;
  private final ControlLoop<NodeState, Event, Effect> loop;
  private final LogFollower follower;
  private final HttpListener callers;
  private final HttpListener operators;
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
            new UpstreamEffects(requests, scheduler, this::submit),
            new AgreementEffects(name, log, scheduler, this::submit),
            decisions,
            this::stopped);
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
    this.operators =
        startOrUndo(
            () -> HttpListener.operators(settings, operatorView(), (DrainSwitch) this::drain),
            this::stopThreads);
    CallerGateway gateway = new CallerGateway(self, requests, clock, loop::submit);
    this.callers =
        startOrUndo(() -> HttpListener.callers(settings, gateway), this::stopWithoutCallers);
  }

  /**
   * Starts an instance.
   *
   * @param settings settings of the instance; a port of 0 lets the system choose
   * @throws ListenerFailedException if an address cannot be listened on
   */
  public static EntryServer start(InstanceSettings settings) {
    String address = settings.logAddress().toString();
    return start(settings, new HttpLogService(address, settings.logStream()));
  }

  /**
   * Starts an instance with a given log.
   *
   * @param settings settings of the instance; a port of 0 lets the system choose
   * @param log the log
   */
  public static EntryServer start(InstanceSettings settings, LogService log) {
    return start(settings, log, new NodeReducer());
  }

  /** Starts an instance with a given log and reducer. */
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

  /** Returns where callers connect. */
  public HostPort callerAddress() {
    return callers.address();
  }

  /** Returns where operators connect. */
  public HostPort operatorAddress() {
    return operators.address();
  }

  /** Returns the state after the last event. */
  public NodeState state() {
    return loop.state();
  }

  /** Returns the exit code of the process after a drain that ended with the given result. */
  int exitCode(DrainResult result) {
    return loop.failure().isDone() ? CONTROL_FAILED : result.exitCode();
  }

  /**
   * Stops accepting requests. The future completes when no request is open, or after the drain
   * timeout of the settings; the server then still has to be closed.
   */
  public CompletableFuture<DrainResult> drain() {
    loop.submit(atMs -> new DrainRequested(atMs, settings.drainTimeoutMs()));
    return drained;
  }

  /** Returns the end of a drain, whoever requests it. */
  public CompletableFuture<DrainResult> drained() {
    return drained;
  }

  /** Stops at once. Call {@link #drain()} first to let open requests end. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    callers.close();
    stopWithoutCallers();
    metrics.close();
    drained.complete(DrainResult.CLOSED);
  }

  private static HttpListener startOrUndo(Supplier<HttpListener> start, Runnable undo) {
    try {
      return start.get();
    } catch (RuntimeException e) {
      undo.run();
      throw e;
    }
  }

  private void stopWithoutCallers() {
    stopThreads();
    operators.close();
  }

  private void stopThreads() {
    follower.close();
    effects.close();
    loop.close();
    scheduler.shutdownNow();
  }

  private void stopped(StopInstance.Reason reason) {
    if (reason == StopInstance.Reason.TIMED_OUT) {
      drained.complete(DrainResult.TIMED_OUT);
    } else {
      requests.awaitEmpty().thenRun(this::completeAfterFlush);
    }
  }

  /** Lets open streams end after the reducer has failed, which can time or refuse nothing more. */
  private void drainWithoutControl() {
    scheduler.schedule(
        () -> drained.complete(DrainResult.TIMED_OUT),
        settings.drainTimeoutMs(),
        TimeUnit.MILLISECONDS);
    requests.drain().thenRun(this::completeAfterFlush);
  }

  private void completeAfterFlush() {
    scheduler.schedule(
        () -> drained.complete(DrainResult.ALL_ENDED), FLUSH_MS, TimeUnit.MILLISECONDS);
  }

  /** The effects need the loop, which needs the effects; no event comes before both exist. */
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
