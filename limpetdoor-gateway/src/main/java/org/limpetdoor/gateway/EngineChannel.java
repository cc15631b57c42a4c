package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.gateway.EngineExchange;
import org.limpetdoor.core.gateway.ForwardResult;
import org.limpetdoor.core.id.BackendId;

/**
 * A connection to an engine, which serves one call at a time. Responses that belong to no call are
 * skipped, since an engine may send an extra response late. Confined to the traffic thread.
 */
final class EngineChannel extends ChannelInboundHandlerAdapter {
  /** Idle time after which a connection isn't reused if the engine states no timeout. */
  private static final long DEFAULT_IDLE_MS = 4_000;

  /**
   * Fraction of the engine's idle timeout after which a connection isn't reused, so that no call is
   * sent while the engine closes the connection.
   */
  private static final double IDLE_FRACTION = 0.6;

  private static final long MS_PER_S = 1_000;

  /** Receives connections that have become idle or have ended. */
  interface Owner {
    /** Called when the connection has finished a call and may serve another one. */
    void channelIdle(EngineChannel channel);

    /** Called when the head of a response has arrived; it may belong to another call. */
    void headReceived(EngineAttempt attempt, HttpResponse head, boolean skipped);

    /** Called when the connection has ended. */
    void channelClosed(EngineChannel channel);
  }

  private final BackendId engine;
  private final Owner owner;
  private final EndOfInput endOfInput;
  private Channel channel;
  private EngineAttempt attempt;
  private EngineExchange exchange;
  private ChannelFuture requestWritten;
  private boolean used;
  private boolean bytesAfterResponse;
  private boolean inResponse;
  private boolean skipping;
  private boolean framed;
  private boolean reusable;
  private boolean connectionFailed;
  private boolean awaitingRequestEnd;
  private long idleSinceNs;
  private long idleLimitMs = DEFAULT_IDLE_MS;

  EngineChannel(BackendId engine, Owner owner, EndOfInput endOfInput) {
    this.engine = engine;
    this.owner = owner;
    this.endOfInput = endOfInput;
  }

  BackendId engine() {
    return engine;
  }

  /**
   * Returns whether the connection is open and has been idle so briefly that the engine won't close
   * it while a call is being sent.
   */
  boolean isUsable(long maxIdleMs) {
    return channel.isActive() && idleMs() < Math.min(maxIdleMs, idleLimitMs);
  }

  long idleMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNs);
  }

  boolean idleTimedOut() {
    return idleMs() >= idleLimitMs;
  }

  /** Returns whether no call is open, so that no response is expected. */
  boolean isIdle() {
    return attempt == null;
  }

  /** Records whether bytes have followed a complete response, which belong to no call. */
  void setBytesAfterResponse(boolean value) {
    bytesAfterResponse = value;
  }

  /** Returns the exchange that sending a call on this connection would be. */
  EngineExchange exchangeFor(OpenCall call) {
    return new EngineExchange(call.attemptId(), used, call.wasSentOn(this));
  }

  void send(EngineAttempt next, CallProtocol protocol) {
    attempt = next;
    exchange = exchangeFor(next.call());
    used = true;
    next.call().sentOn(this);
    inResponse = false;
    skipping = false;
    OpenCall call = next.call();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            call.head().method(),
            call.head().uri(),
            Unpooled.wrappedBuffer(call.body()));
    HopByHopHeaders.copyEndToEnd(call.head().headers(), request.headers());
    protocol.writeHeaders(
        call.head().headers(), request.headers(), next.forwardNow(), call.lastEventId());
    boolean hasBody =
        call.body().length > 0 || call.head().headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (hasBody) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    }
    requestWritten = channel.writeAndFlush(request);
    next.requestSent(this);
  }

  /** Closes the connection, which makes the engine cancel the call. */
  void abort() {
    attempt = null;
    channel.close();
  }

  void close() {
    channel.close();
  }

  /** Suspends or resumes reading. The caller may become unwritable after the engine has closed. */
  void setAutoRead(boolean autoRead) {
    if (channel.isRegistered()) {
      channel.config().setAutoRead(autoRead);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      read(message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    owner.channelClosed(this);
    if (attempt != null) {
      EngineAttempt lost = attempt;
      attempt = null;
      lost.exchangeFailed(lostResult());
    }
  }

  /** Closes the connection after the engine has, unless the request is still being written. */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent && !awaitingRequestEnd) {
      channel.close();
    }
  }

  /**
   * Closes the connection after an I/O error. A response that ends with the connection is then
   * incomplete.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionFailed = true;
    context.close();
  }

  private void read(Object message) {
    if (attempt == null) {
      // Data received without an open call can't be attributed to any call.
      channel.close();
      return;
    }
    if (message instanceof HttpResponse head) {
      readHead(head);
    }
    if (message instanceof HttpContent content) {
      readContent(content);
    }
  }

  private void readHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      failAttempt(resultOf(head.decoderResult()));
      return;
    }
    boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    skipping = informational || !exchange.ownsResponse(attempt.echoedId(head));
    owner.headReceived(attempt, head, skipping);
    if (skipping) {
      return;
    }
    inResponse = true;
    framed = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    reusable = HttpUtil.isKeepAlive(head) && framed;
    updateIdleLimit(head);
    attempt.responseStarted(head);
  }

  private void readContent(HttpContent content) {
    boolean last = content instanceof LastHttpContent;
    if (content.decoderResult().isFailure()) {
      failAttempt(resultOf(content.decoderResult()));
      return;
    }
    if (skipping) {
      skipping = !last;
      return;
    }
    if (!inResponse || (last && connectionFailed)) {
      failAttempt(ForwardResult.INVALID_ANSWER);
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      attempt.contentReceived(bytes);
    }
    if (last && attempt != null) {
      endResponse();
    }
  }

  /**
   * Ends the attempt with its response. A response that ends with the connection is complete only
   * if the engine has ended it and accepted the whole request; an engine that has stopped resets
   * the connection when it receives the rest.
   */
  private void endResponse() {
    boolean hasNoContent = channel.isActive() && !endOfInput.isReached();
    if (framed || hasNoContent) {
      completeAttempt();
      return;
    }
    if (!endOfInput.isReached()) {
      failAttempt(lostResult());
      return;
    }
    EngineAttempt answered = attempt;
    awaitingRequestEnd = !requestWritten.isDone();
    requestWritten.addListener(
        written -> {
          if (attempt == answered && written.isSuccess()) {
            completeAttempt();
          }
        });
  }

  private void completeAttempt() {
    EngineAttempt completed = attempt;
    attempt = null;
    completed.responseEnded(framed);
    returnToPool();
  }

  /** Returns the result for a malformed response, which may also have been cut. */
  private ForwardResult resultOf(DecoderResult failure) {
    return failure.cause() instanceof PrematureChannelClosureException
        ? lostResult()
        : ForwardResult.INVALID_ANSWER;
  }

  private ForwardResult lostResult() {
    return requestWritten.isSuccess() ? ForwardResult.CONNECTION_LOST : ForwardResult.REQUEST_CUT;
  }

  private void failAttempt(ForwardResult result) {
    EngineAttempt failed = attempt;
    attempt = null;
    channel.close();
    if (failed != null) {
      failed.exchangeFailed(connectionFailed ? lostResult() : result);
    }
  }

  /**
   * Makes the connection available again, unless the response came before the request was fully
   * written or bytes have followed it: a second request would then be mixed with the rest of the
   * first, or its response with these bytes.
   */
  private void returnToPool() {
    if (reusable && !bytesAfterResponse && requestWritten.isSuccess() && channel.isActive()) {
      idleSinceNs = System.nanoTime();
      channel.config().setAutoRead(true);
      owner.channelIdle(this);
    } else {
      channel.close();
    }
  }

  private void updateIdleLimit(HttpResponse head) {
    String keepAlive = head.headers().get("Keep-Alive");
    idleLimitMs = keepAlive == null ? DEFAULT_IDLE_MS : parseIdleMs(keepAlive);
  }

  /** Parses the timeout in whole seconds; other formats are treated as not stated. */
  private static long parseIdleMs(String keepAlive) {
    for (String parameter : keepAlive.split(",")) {
      String[] pair = parameter.trim().split("=", 2);
      boolean timeout = pair.length == 2 && pair[0].trim().equalsIgnoreCase("timeout");
      if (timeout && pair[1].trim().matches("[0-9]{1,6}")) {
        return (long) (IDLE_FRACTION * MS_PER_S * Long.parseLong(pair[1].trim()));
      }
    }
    return DEFAULT_IDLE_MS;
  }
}
