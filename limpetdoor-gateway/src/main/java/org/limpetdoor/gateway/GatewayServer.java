package org.limpetdoor.gateway;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.nio.channels.spi.SelectorProvider;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.StopInstance;
import org.limpetdoor.core.event.DrainRequested;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.GatewayStarted;
import org.limpetdoor.core.event.SuspensionSuspected;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;
import org.limpetdoor.runtime.ControlLoop;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.SuspensionDetector;
import org.limpetdoor.runtime.decision.LogLine;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.OverloadLog;
import org.limpetdoor.runtime.peer.PeerTransport;
import org.limpetdoor.runtime.peer.PeerTransportSettings;

/**
 * A gateway process: the control thread, the traffic thread with all connections, and the log
 * writer.
 *
 * <p>The platform-specific components are passed in: the protocol of callers and engines, the
 * client of the engines' control interface, and the client that requests the placement duty.
 */
public final class GatewayServer implements AutoCloseable {
  private static final int STATUS_OK = 200;
  private static final int STATUS_UNAVAILABLE = 503;

  /**
   * Time for the last bytes to leave the sockets after the last call has ended, in milliseconds.
   */
  private static final long FLUSH_MS = 300;

  /** Time limit for the traffic thread to end, in milliseconds. */
  private static final long SHUTDOWN_TIMEOUT_MS = 150;

  /** A page of the store has at most 1 MB, and base64 makes it larger. */
  private static final int MAX_STORE_RESPONSE_BYTES = 8 << 20;

  /**
   * Longest response of an engine's control interface. Reports name some models and runs; an engine
   * in trouble may send bytes without end, and all engines are asked together.
   */
  private static final int MAX_REPORT_BYTES = 256 << 10;

  private final GatewayOptions options;
  private final MonotonicClock clock = MonotonicClock.startingNow();
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final DecisionLog log = new DecisionLog(System.out, metrics);
  private final SuspensionDetector suspensions =
      new SuspensionDetector(System::currentTimeMillis, clock.nowMs());
  private final ReadTimes readTimes = new ReadTimes(clock);
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(
          1, NioIoHandler.newFactory(SelectorProvider.provider(), readTimes));
  private final CompletableFuture<StopInstance.Reason> flushed = new CompletableFuture<>();
  private final GatewayTraffic traffic;
  private final ControlLoop<NodeState, Event, Effect> control;
  private final PeerLinks peers;
  private Channel callers;

  /** Platform-specific components of a gateway. */
  public interface Platform {
    /** Returns the protocol of callers and engines. */
    CallProtocol callProtocol();

    /** Returns the client of the engines' control interface. */
    EngineClient engineClient(ControlHttpClient httpClient);

    /** Returns the client that requests the placement duty. */
    DutyClient dutyClient(ControlHttpClient httpClient);

    /** Returns the follower of the store, whose reads are made on the given traffic thread. */
    StoreFollower storeFollower(
        ControlHttpClient httpClient, EventLoop loop, StoreFollower.Sink sink);
  }

  private final class StoreSink implements StoreFollower.Sink {
    @Override
    public void submit(Function<Long, Event> event) {
      control.submit(event);
    }

    @Override
    public void log(LogLine line) {
      log.write(line);
    }
  }

  private GatewayServer(GatewayOptions options, Platform platform) {
    this.options = options;
    EventLoop loop = (EventLoop) group.next();
    ControlHttpClient storeHttpClient = new ControlHttpClient(loop, MAX_STORE_RESPONSE_BYTES);
    ControlHttpClient engineHttpClient = new ControlHttpClient(loop, MAX_REPORT_BYTES);
    this.traffic =
        new GatewayTraffic(
            loop,
            platform.callProtocol(),
            platform.engineClient(engineHttpClient),
            platform.dutyClient(storeHttpClient),
            platform.storeFollower(storeHttpClient, loop, new StoreSink()),
            clock,
            readTimes,
            BodyMemories.ofHeap(),
            new OverloadLog(metrics, log::write, System::nanoTime),
            this::submit);
    this.peers = new PeerLinks(this::submit);
    this.control =
        new ControlLoop<>(
            "control",
            NodeState.initial(options.self()),
            new NodeReducer(),
            clock,
            TimerFired::new,
            new GatewayEffectDispatcher(traffic, peers, log, this::stop)::dispatch,
            this::suspicion);
    this.control.failure().thenAccept(failure -> stop(StopInstance.Reason.TIMED_OUT));
  }

  /**
   * Starts a gateway.
   *
   * @param options addresses and settings
   * @param platform platform-specific components
   */
  public static GatewayServer start(GatewayOptions options, Platform platform) {
    GatewayServer server = new GatewayServer(options, platform);
    server.open();
    return server;
  }

  /** Submits an event to the control thread. */
  public void submit(Function<Long, Event> event) {
    control.submit(event);
  }

  /** Returns the thread that handles all connections. */
  public EventLoop trafficThread() {
    return (EventLoop) group.next();
  }

  /** Returns the state after the last event. */
  public NodeState state() {
    return control.state();
  }

  /** Returns the address that callers connect to. */
  public InetSocketAddress callerAddress() {
    return (InetSocketAddress) callers.localAddress();
  }

  /** Returns the clock that timestamps all events. */
  public MonotonicClock clock() {
    return clock;
  }

  /** Writes a line to the log, or counts it as dropped if the log's queue is full. */
  public void log(LogLine line) {
    log.write(line);
  }

  /** Begins a graceful shutdown; {@link #stopped()} completes when the process may end. */
  public void drain() {
    traffic.beginDrain();
    long timeoutMs = options.gatewaySettings().drainTimeoutMs() - FLUSH_MS;
    submit(atMs -> new DrainRequested(atMs, timeoutMs));
  }

  /**
   * Returns a future that completes with the reason when the gateway has stopped, whatever caused
   * the stop. It completes only after the last bytes have left the sockets, because bytes still in
   * flight are lost when the process exits.
   */
  public CompletableFuture<StopInstance.Reason> stopped() {
    return flushed;
  }

  private Optional<Event> suspicion(long nowMs) {
    long lostMs = suspensions.lostMs(nowMs);
    return lostMs > 0 ? Optional.of(new SuspensionSuspected(nowMs, lostMs)) : Optional.empty();
  }

  private void stop(StopInstance.Reason reason) {
    trafficThread().schedule(() -> flushed.complete(reason), FLUSH_MS, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    log(LogLine.event("instance_stopped").with("instance", options.self().id()));
    trafficThread().execute(() -> traffic.closeCallers(ConnectionCloseReason.STOP));
    group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    control.close();
    log.close();
    metrics.close();
  }

  private void open() {
    control.start();
    StateGauges.register(metrics, control::state);
    submit(atMs -> new GatewayStarted(atMs, options.gatewaySettings()));
    callers = Listeners.listenForCallers(group, options.callers(), traffic);
    Listeners.listenForMonitoring(group, options.readiness(), traffic, this::readinessResponse);
    Listeners.listenForMonitoring(
        group,
        options.metrics(),
        traffic,
        path -> new MonitoringHandler.Response(STATUS_OK, metrics.scrape()));
    PeerIdentity identity =
        new PeerIdentity(options.self().id(), options.self().incarnation(), options.self().zone());
    peers.setTransport(
        PeerTransport.start(
            PeerTransportSettings.of(identity, options.peers(), options.peerSecret()),
            peers,
            group,
            traffic.bounds().overloads()));
    log(
        LogLine.event("instance_started")
            .with("instance", options.self().id())
            .with("zone", options.self().zone())
            .with("callers", callers.localAddress()));
  }

  private MonitoringHandler.Response readinessResponse(String path) {
    NodeState state = control.state();
    boolean pathMatches = path.startsWith(options.readinessPath());
    boolean ready = pathMatches && state.gateway().ready() && !state.draining();
    return new MonitoringHandler.Response(
        ready ? STATUS_OK : STATUS_UNAVAILABLE, ready ? "ready" : "not ready");
  }
}
