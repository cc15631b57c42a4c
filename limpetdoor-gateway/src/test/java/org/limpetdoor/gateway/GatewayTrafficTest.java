package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.effect.ApplyCallerLimits;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.effect.InspectEngine;
import org.limpetdoor.core.effect.SendEngineOrder;
import org.limpetdoor.core.event.CallArrived;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.EngineInspected;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.event.EngineOrderEnded;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.ForwardEnded;
import org.limpetdoor.core.event.ForwardSilent;
import org.limpetdoor.core.gateway.EngineInventory;
import org.limpetdoor.core.gateway.EngineNotice;
import org.limpetdoor.core.gateway.EngineOrder;
import org.limpetdoor.core.gateway.EngineOrderResult;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.core.gateway.account.Authentication;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.OverloadLog;

/** Tests the forwarding of calls on loopback with an engine that sends scripted responses. */
class GatewayTrafficTest {
  private static final long TIMEOUT_S = 30;
  private static final String ENDLESS = "ENDLESS ";
  private static final InetSocketAddress ANY_LOOPBACK_PORT = new InetSocketAddress("127.0.0.1", 0);

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<List<String>> scriptedResponses = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> receivedRequests = new LinkedBlockingQueue<>();
  private final MonotonicClock clock = MonotonicClock.startingNow();
  private GatewayTraffic traffic;
  private Channel callers;
  private Channel engine;
  private final CountDownLatch endlessResponsesClosed = new CountDownLatch(1);
  private long deadlineInMs = 60_000;
  private long silenceTimeoutMs;
  private long engineStartedAtMs = 7;
  private final BlockingQueue<String> controlRequests = new LinkedBlockingQueue<>();
  private volatile EngineNotice controlNotice = EngineNotice.NONE;

  @BeforeEach
  void open() {
    EventLoop loop = (EventLoop) group.next();
    traffic =
        new GatewayTraffic(
            loop,
            new TestCallProtocol(),
            new TestEngineClient(),
            null,
            null,
            clock,
            new ReadTimes(clock),
            BodyMemories.ofHeap(),
            new OverloadLog(new SimpleMeterRegistry(), line -> {}, System::nanoTime),
            event -> events.add(event.apply(0L)));
    callers = Listeners.listenForCallers(group, ANY_LOOPBACK_PORT, traffic);
    engine = startEngine();
  }

  @AfterEach
  void close() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Accepts all orders, and knows no inventory. */
  private final class TestEngineClient implements EngineClient {
    @Override
    public CompletableFuture<EngineResponse<EngineOrderResult>> sendOrder(
        EngineOrder order, String address) {
      controlRequests.add("order");
      return CompletableFuture.completedFuture(
          new EngineResponse<>(EngineOrderResult.ACCEPTED, controlNotice));
    }

    @Override
    public CompletableFuture<EngineResponse<Optional<EngineInventory>>> requestInventory(
        String engineId, String address) {
      controlRequests.add("inventory");
      return CompletableFuture.completedFuture(
          new EngineResponse<>(Optional.empty(), controlNotice));
    }
  }

  private Channel startEngine() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpRequestDecoder(), new HttpObjectAggregator(1 << 20))
                    .addLast(new ScriptedEngine());
              }
            })
        .bind(ANY_LOOPBACK_PORT)
        .syncUninterruptibly()
        .channel();
  }

  /**
   * Sends the next scripted response. The part {@code CLOSE} closes the connection, and a part that
   * begins with {@code ENDLESS} is sent again and again until the other side closes it.
   */
  private final class ScriptedEngine extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      receivedRequests.add(
          request.uri() + " " + request.content().toString(StandardCharsets.UTF_8));
      for (String part : scriptedResponses.remove()) {
        if (part.equals("CLOSE")) {
          context.close();
        } else if (part.startsWith(ENDLESS)) {
          sendEndlessly(context, part.substring(ENDLESS.length()));
        } else {
          context.writeAndFlush(Unpooled.copiedBuffer(part, StandardCharsets.UTF_8));
        }
      }
    }

    private void sendEndlessly(ChannelHandlerContext context, String text) {
      context
          .writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8))
          .addListener(
              sent -> {
                if (sent.isSuccess()) {
                  context.executor().execute(() -> sendEndlessly(context, text));
                } else {
                  endlessResponsesClosed.countDown();
                }
              });
    }
  }

  private Socket connectCaller() throws IOException {
    InetSocketAddress address = (InetSocketAddress) callers.localAddress();
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    socket.getOutputStream().flush();
  }

  /** Reads until the text ends with the given suffix or the connection ends. */
  private static String readUntil(Socket socket, String part) throws IOException {
    InputStream in = socket.getInputStream();
    StringBuilder text = new StringBuilder();
    int next = in.read();
    while (next >= 0) {
      text.append((char) next);
      next = text.toString().endsWith(part) ? -1 : in.read();
    }
    return text.toString();
  }

  private <E extends Event> E next(Class<E> type) throws InterruptedException {
    Event event = events.poll(TIMEOUT_S, TimeUnit.SECONDS);
    while (event != null && !type.isInstance(event)) {
      event = events.poll(TIMEOUT_S, TimeUnit.SECONDS);
    }
    return type.cast(event);
  }

  private long forward(int attempt, boolean streamed) throws InterruptedException {
    long id = attempt == 1 ? next(CallArrived.class).spec().id() : 1;
    InetSocketAddress address = (InetSocketAddress) engine.localAddress();
    traffic.apply(
        new ForwardCall(
            id,
            attempt,
            new BackendId("e1"),
            engineStartedAtMs,
            "127.0.0.1:" + address.getPort(),
            1_000,
            clock.nowMs() + deadlineInMs,
            0,
            streamed,
            false,
            silenceTimeoutMs,
            silenceTimeoutMs,
            Authentication.NOT_IN_USE));
    return id;
  }

  private static String response(String call, String body) {
    return "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: "
        + call
        + "\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\nTransfer-Encoding: chunked\r\n\r\n";

  /**
   * Guards against changes to the path, query or body of a forwarded request, or to the response.
   */
  @Test
  void forwardsRequestAndResponseUnchanged() throws Exception {
    scriptedResponses.add(List.of(response("c1", "hello")));
    try (Socket socket = connectCaller()) {
      send(
          socket,
          "POST /a/b?q=%20 HTTP/1.1\r\nHost: h\r\nCall: c1\r\nContent-Length: 4\r\n\r\nbody");
      forward(1, false);

      assertThat(readUntil(socket, "hello")).startsWith("HTTP/1.1 200 OK\r\nSigned: s\r\n");
      assertThat(receivedRequests.take()).isEqualTo("/a/b?q=%20 body");
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.COMPLETED);
    }
  }

  /** Guards against relaying a late extra response of an earlier call to the next caller. */
  @Test
  void skipsAResponseToAnotherCall() throws Exception {
    scriptedResponses.add(List.of(response("c0", "late"), response("c1", "right")));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);

      assertThat(readUntil(socket, "right")).doesNotContain("late");
    }
  }

  /** Guards against a second copy of a response that reaches the next caller of a connection. */
  @Test
  void dropsASecondCopyOfAResponse() throws Exception {
    scriptedResponses.add(List.of(response("c1", "first"), response("c1", "first")));
    scriptedResponses.add(List.of(response("c2", "other")));
    try (Socket socket = connectCaller();
        Socket next = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      readUntil(socket, "first");

      send(next, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");
      forward(1, false);

      assertThat(readUntil(next, "other")).doesNotContain("first");
    }
  }

  /** Guards against treating a truncated response as complete. */
  @Test
  void reportsATruncatedResponseAsConnectionLost() throws Exception {
    scriptedResponses.add(
        List.of(
            "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\nContent-Length: 9\r\n\r\nhalf", "CLOSE"));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.CONNECTION_LOST);
    }
  }

  /** Guards against accepting a success response that no engine signed. */
  @Test
  void reportsAnUnsignedSuccessAsInvalid() throws Exception {
    scriptedResponses.add(List.of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.INVALID_ANSWER);
    }
  }

  /** Guards against reporting a refused call as not run although the engine didn't state that. */
  @Test
  void treatsARefusalWithoutNotRunHeaderAsInvalid() throws Exception {
    scriptedResponses.add(
        List.of("HTTP/1.1 503 x\r\nSigned: s\r\nCall: c1\r\nContent-Length: 0\r\n\r\n"));
    scriptedResponses.add(
        List.of("HTTP/1.1 503 x\r\nNot-Run: 1\r\nCall: c2\r\nContent-Length: 0\r\n\r\n"));
    try (Socket socket = connectCaller();
        Socket other = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.INVALID_ANSWER);

      send(other, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");
      forward(1, false);
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.BUSY);
    }
  }

  /** Guards against a missed or repeated event when another engine resumes a stream. */
  @Test
  void resumesAfterTheLastCompleteEvent() throws Exception {
    scriptedResponses.add(
        List.of(STREAM_HEAD + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\nda"), "CLOSE"));
    scriptedResponses.add(List.of(STREAM_HEAD + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, true);
      ForwardEnded lost = next(ForwardEnded.class);
      assertThat(lost.result()).isEqualTo(ForwardResult.CONNECTION_LOST);
      assertThat(lost.delivered()).isTrue();

      forward(2, true);

      String text = readUntil(socket, "0\r\n\r\n");
      assertThat(text).contains(chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n"));
      assertThat(text.split("HTTP/1.1", -1)).hasLength(2);
    }
  }

  private void assertCutOff(boolean streamed, String... parts) throws Exception {
    scriptedResponses.add(List.of(parts));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, streamed);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.INVALID_ANSWER);
      assertThat(endlessResponsesClosed.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }
  }

  /** Guards against an event without end, which would fill the memory of the process. */
  @Test
  void cutsOffAnEventWithoutEnd() throws Exception {
    assertCutOff(true, STREAM_HEAD, ENDLESS + chunk("x".repeat(16_000)));
  }

  /** Guards against a body without end, which would fill the memory of the process. */
  @Test
  void cutsOffAResponseWithoutEnd() throws Exception {
    assertCutOff(
        false, "HTTP/1.1 200 OK\r\nSigned: s\r\nCall: c1\r\n\r\n", ENDLESS + "x".repeat(16_000));
  }

  /** Guards against header lines without end, which would fill the memory of the process. */
  @Test
  void cutsOffAHeadWithoutEnd() throws Exception {
    assertCutOff(false, "HTTP/1.1 200 OK\r\n", ENDLESS + "Name: value\r\n");
  }

  /** Guards against one line without end, which would fill the memory of the process. */
  @Test
  void cutsOffALineWithoutEnd() throws Exception {
    assertCutOff(false, ENDLESS + "x".repeat(1_000));
  }

  /** Guards against the extension of a chunk without end, which belongs to no body. */
  @Test
  void cutsOffAChunkExtensionWithoutEnd() throws Exception {
    assertCutOff(true, STREAM_HEAD + "5;", ENDLESS + "x".repeat(1_000));
  }

  /** Guards against a stalled stream that never ends because bytes still arrive now and then. */
  @Test
  void reportsAStreamWithoutWholeEventsAsSilent() throws Exception {
    silenceTimeoutMs = 100;
    scriptedResponses.add(List.of(STREAM_HEAD + chunk("id: 1\ndata: a\n\n"), ENDLESS + chunk("d")));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, true);

      assertThat(next(ForwardSilent.class)).isNotNull();
    }
  }

  /** Guards against work for a caller that has left while the decision to send it was waiting. */
  @Test
  void sendsNothingAfterTheDeadline() throws Exception {
    deadlineInMs = -1;
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.DEADLINE_PASSED);
      assertThat(receivedRequests).isEmpty();
    }
  }

  private void assertLeavingReported(boolean streamed, String... parts) throws Exception {
    scriptedResponses.add(List.of(parts));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, streamed);

      assertThat(next(EngineNoticeReceived.class))
          .isEqualTo(
              new EngineNoticeReceived(
                  0, new BackendId("e1"), engineStartedAtMs, new EngineNotice(true, 0)));
    }
  }

  /** Guards against the loss of the statement of an engine that it is leaving, before the body. */
  @Test
  void reportsALeavingEngineAtTheHeadOfAStream() throws Exception {
    assertLeavingReported(
        true, STREAM_HEAD.replace("Signed", "Leaving: 1\r\nSigned") + chunk("id: 1\ndata: a\n\n"));
  }

  /** Guards against the loss of the statement in a refusal, which the caller does not get. */
  @Test
  void reportsALeavingEngineInARefusal() throws Exception {
    assertLeavingReported(
        false, "HTTP/1.1 503 x\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n");
  }

  /** Guards against the loss of the statement in an error response. */
  @Test
  void reportsALeavingEngineInAnErrorResponse() throws Exception {
    assertLeavingReported(
        false, "HTTP/1.1 500 x\r\nSigned: s\r\nLeaving: 1\r\nContent-Length: 9\r\n\r\n", "CLOSE");
  }

  /** Guards against the loss of the statement in a response that is skipped. */
  @Test
  void reportsALeavingEngineInAResponseToAnotherCall() throws Exception {
    assertLeavingReported(false, response("c0", "late").replace("Signed", "Leaving: 1\r\nSigned"));
  }

  private static String refusal(int closedMs) {
    return "HTTP/1.1 503 x\r\nNot-Run: 1\r\nClosed-Ms: "
        + closedMs
        + "\r\nContent-Length: 0\r\n\r\n";
  }

  /**
   * Guards against requests to an engine that has closed while the decision to send them was
   * waiting for the traffic thread.
   */
  @Test
  void sendsNothingToAnEngineThatHasClosedSinceTheDecision() throws Exception {
    scriptedResponses.add(List.of(refusal(60_000)));
    try (Socket socket = connectCaller();
        Socket other = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      assertThat(next(EngineNoticeReceived.class).notice().retryAfterMs()).isEqualTo(60_000);
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.BUSY);

      send(other, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");
      forward(1, false);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.ENGINE_CLOSED);
      assertThat(receivedRequests).hasSize(1);
    }
  }

  /** Guards against an engine that stays closed after it has started again. */
  @Test
  void sendsToANewStartOfAClosedEngine() throws Exception {
    scriptedResponses.add(List.of(refusal(60_000)));
    scriptedResponses.add(List.of(response("c2", "right")));
    try (Socket socket = connectCaller();
        Socket other = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.BUSY);

      engineStartedAtMs++;
      send(other, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");
      forward(1, false);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.COMPLETED);
    }
  }

  /** Guards against a late copy of a refusal that closes the engine again. */
  @Test
  void aRefusalOfAnotherCallDoesNotCloseTheEngine() throws Exception {
    scriptedResponses.add(
        List.of(
            refusal(60_000).replace("Not-Run", "Call: c0\r\nNot-Run"), response("c1", "right")));
    scriptedResponses.add(List.of(response("c2", "right")));
    try (Socket socket = connectCaller();
        Socket other = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.COMPLETED);

      send(other, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");
      forward(1, false);

      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.COMPLETED);
    }
  }

  private void applyOrderAndInventoryRequest() {
    BackendId target = new BackendId("e1");
    EngineOrder order =
        new EngineOrder(
            1, target, EngineOrder.Action.LOAD, ModelKey.of("m1"), 5, 0, EngineOrder.Source.STORE);
    traffic.apply(new SendEngineOrder(order, engineStartedAtMs, "127.0.0.1:1"));
    traffic.apply(new InspectEngine(target, engineStartedAtMs, "127.0.0.1:1"));
  }

  /** Guards against control requests to an engine that has closed since the decision. */
  @Test
  void sendsNoOrderAndNoInventoryRequestToAClosedEngine() throws Exception {
    scriptedResponses.add(List.of(refusal(60_000)));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      assertThat(next(ForwardEnded.class).result()).isEqualTo(ForwardResult.BUSY);

      applyOrderAndInventoryRequest();

      assertThat(next(EngineOrderEnded.class).result()).isEqualTo(EngineOrderResult.REFUSED);
      assertThat(next(EngineInspected.class).inventory()).isEmpty();
      assertThat(controlRequests).isEmpty();
    }
  }

  /** Guards against the loss of what an engine states in a response to an order or inspection. */
  @Test
  void reportsWhatEnginesStateInResponsesToControlRequests() throws Exception {
    controlNotice = new EngineNotice(true, 0);

    applyOrderAndInventoryRequest();

    for (int i = 0; i < 2; i++) {
      assertThat(next(EngineNoticeReceived.class))
          .isEqualTo(
              new EngineNoticeReceived(0, new BackendId("e1"), engineStartedAtMs, controlNotice));
    }
  }

  /** Guards against engines that keep running calls of disconnected callers. */
  @Test
  void reportsCallerDisconnects() throws Exception {
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      assertThat(next(CallArrived.class).spec().callerAttemptId()).isEqualTo("c1");
    }

    assertThat(next(CallCancelled.class).call()).isEqualTo(1);
  }

  /** Guards against mixing up pipelined requests on one connection. */
  @Test
  void servesPipelinedRequestsInOrder() throws Exception {
    scriptedResponses.add(List.of(response("c1", "first")));
    scriptedResponses.add(List.of(response("c2", "second")));
    try (Socket socket = connectCaller()) {
      send(
          socket,
          "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");
      forward(1, false);
      assertThat(readUntil(socket, "first")).contains("Call: c1");
      forward(1, false);
      assertThat(readUntil(socket, "second")).contains("Call: c2");
    }
  }

  /** Guards against malformed requests that reach an engine or get no response. */
  @Test
  void rejectsMalformedRequests() throws Exception {
    String longHeader = "X: " + "y".repeat(20_000);
    List<String> requests =
        List.of(
            "GET /a HTTP/1.1\r\nHost: h\r\n" + longHeader + "\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n",
            "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "nonsense\r\n\r\n");
    List<String> statuses = List.of("431", "413", "400", "400");
    for (int i = 0; i < requests.size(); i++) {
      try (Socket socket = connectCaller()) {
        send(socket, requests.get(i));
        assertThat(readUntil(socket, "\r\n")).startsWith("HTTP/1.1 " + statuses.get(i));
      }
    }
    assertThat(events).isEmpty();
  }

  /** Closes idle connections as if each had been idle for longer than a limit below zero. */
  private void closeIdleCallers() {
    traffic.apply(
        new ApplyCallerLimits(
            new CallerLimits(16_384, 4_194_304, CallerLimits.DEFAULT.headerTimeoutMs(), -1)));
    group.next().submit(traffic::closeStalledCallers).syncUninterruptibly();
  }

  /** Guards against closing a connection as idle while a request is being received on it. */
  @Test
  void keepsAConnectionWhoseRequestIsBeingReceived() throws Exception {
    try (Socket socket = connectCaller()) {
      send(
          socket,
          "POST /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
      assertThat(readUntil(socket, "\r\n\r\n")).contains("100 Continue");

      closeIdleCallers();
      send(socket, "body");

      assertThat(next(CallArrived.class)).isNotNull();
    }
  }

  /**
   * Guards against closing a connection as idle when a new configuration has a shorter timeout,
   * while its caller may still use it.
   */
  @Test
  void keepsAnIdleConnectionForTheTimeoutThatWasInForce() throws Exception {
    scriptedResponses.add(List.of(response("c1", "first")));
    try (Socket socket = connectCaller()) {
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c1\r\n\r\n");
      forward(1, false);
      readUntil(socket, "first");

      closeIdleCallers();
      send(socket, "GET /a HTTP/1.1\r\nHost: h\r\nCall: c2\r\n\r\n");

      assertThat(next(CallArrived.class)).isNotNull();
    }
  }
}
