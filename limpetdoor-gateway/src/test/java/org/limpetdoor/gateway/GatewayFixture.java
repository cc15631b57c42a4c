package org.limpetdoor.gateway;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.limpetdoor.core.effect.ApplyCallerLimits;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.GatewayEffect;
import org.limpetdoor.core.effect.RelayErrorResponse;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.gateway.account.Authentication;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.OverloadLog;

/** The traffic side of a gateway on loopback, whose effects the test submits. */
final class GatewayFixture implements AutoCloseable {
  /** Length of the body of a long call, in bytes; the buffers of sockets hold up to 4 MB. */
  static final int LONG_BODY_BYTES = 16_000_000;

  private static final long TIMEOUT_S = 20;
  private static final long DEADLINE_IN_MS = 60_000;
  private static final long ENGINE_STARTED_AT_MS = 7;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final MonotonicClock clock = MonotonicClock.startingNow();
  private final GatewayTraffic traffic;
  private final Channel callers;
  private volatile Consumer<Event> eventListener = event -> {};

  GatewayFixture() {
    this(BodyMemories.ofHeap());
  }

  GatewayFixture(BodyMemories memories) {
    traffic =
        new GatewayTraffic(
            (EventLoop) group.next(),
            new TestCallProtocol(),
            null,
            null,
            null,
            clock,
            new ReadTimes(clock),
            memories,
            new OverloadLog(new SimpleMeterRegistry(), line -> {}, System::nanoTime),
            this::eventSubmitted);
    callers = Listeners.listenForCallers(group, new InetSocketAddress("127.0.0.1", 0), traffic);
  }

  private void eventSubmitted(Function<Long, Event> create) {
    Event event = create.apply(0L);
    events.add(event);
    eventListener.accept(event);
  }

  /** Calls a listener on the traffic thread with each event from now on. */
  void listen(Consumer<Event> listener) {
    eventListener = listener;
  }

  /** Runs a task on the traffic thread, like the work for a message. */
  void onTrafficThread(Runnable task) {
    group
        .next()
        .execute(
            () -> {
              traffic.recordRead();
              task.run();
            });
  }

  /** Sends a request with an identifier and returns the socket of its caller. */
  Socket sendCall(String id) throws IOException {
    return send("GET /a HTTP/1.1\r\nHost: h\r\nCall: " + id + "\r\n\r\n");
  }

  /** Sends a request with a body that is longer than the buffers between gateway and engine. */
  Socket sendLongCall(String id) throws IOException {
    CallerLimits limits = CallerLimits.DEFAULT;
    traffic.apply(
        new ApplyCallerLimits(
            new CallerLimits(
                limits.maxHeaderBytes(),
                LONG_BODY_BYTES,
                limits.headerTimeoutMs(),
                limits.idleTimeoutMs())));
    Socket socket =
        send(
            "POST /a HTTP/1.1\r\nHost: h\r\nCall: "
                + id
                + "\r\nContent-Length: "
                + LONG_BODY_BYTES
                + "\r\n\r\n");
    socket.getOutputStream().write(new byte[LONG_BODY_BYTES]);
    return socket;
  }

  Socket send(String request) throws IOException {
    InetSocketAddress address = (InetSocketAddress) callers.localAddress();
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    return socket;
  }

  /** Waits for the next call and returns its number. */
  long arrivedCall() throws InterruptedException {
    return next(CallArrived.class).spec().id();
  }

  void forward(long call, int attempt, ControlledEngine engine, boolean streamed) {
    traffic.apply(
        new ForwardCall(
            call,
            attempt,
            new BackendId(engine.address()),
            ENGINE_STARTED_AT_MS,
            engine.address(),
            DEADLINE_IN_MS,
            clock.nowMs() + DEADLINE_IN_MS,
            0,
            streamed,
            false,
            0,
            0,
            Authentication.NOT_IN_USE));
  }

  /** Ends a call with the error response of an attempt, as the reducer does without a retry. */
  void relayErrorResponse(long call, int attempt) {
    traffic.apply(new RelayErrorResponse(call, attempt));
  }

  void apply(GatewayEffect effect) {
    traffic.apply(effect);
  }

  ForwardEnded nextEnd() throws InterruptedException {
    return next(ForwardEnded.class);
  }

  <E extends Event> E next(Class<E> type) throws InterruptedException {
    Event event = events.poll(TIMEOUT_S, TimeUnit.SECONDS);
    while (event != null && !type.isInstance(event)) {
      event = events.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }
    return type.cast(event);
  }

  /** Reads until the text ends with the given suffix or the connection ends. */
  static String readUntil(Socket socket, String suffix) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    int next = in.read();
    while (next >= 0) {
      text.write(next);
      next = text.toString(StandardCharsets.UTF_8).endsWith(suffix) ? -1 : in.read();
    }
    return text.toString(StandardCharsets.UTF_8);
  }

  /** Reads until the gateway closes the connection. */
  static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
