package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.decision.RequestProgress;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.CallerConnectionClosed;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.runtime.http.BufferedBody;
import org.limpetdoor.runtime.http.HeadMemory.NoHeadMemoryException;
import org.limpetdoor.runtime.http.UnsentResponses;

/**
 * A connection from a caller, which has at most one open call at a time. Confined to the traffic
 * thread.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter {
  /** Time after which callers return that there was no memory for, in milliseconds. */
  private static final long RETRY_AFTER_NO_MEMORY_MS = 1_000;

  private final GatewayTraffic traffic;
  private Channel channel;
  private HttpRequest head;
  private final BufferedBody body;
  private final UnsentResponses unsent;
  private OpenCall call;
  private ChannelFuture lastResponse;
  private CallerLimits idleLimits;
  private boolean keepAlive = true;
  private long lastUsedNs = System.nanoTime();

  CallerChannel(GatewayTraffic traffic) {
    this.traffic = traffic;
    this.idleLimits = traffic.callerLimits();
    this.body = new BufferedBody(traffic.requestMemory());
    this.unsent = new UnsentResponses(traffic.responseMemory());
  }

  /**
   * Closes the connection if it has made no progress for too long. A caller that stalls in the
   * middle of a request gets a response.
   */
  void closeIfStalled() {
    if (unsent.isStalled(channel, idleTimeoutMs())) {
      traffic.overloads().accept(OverloadReason.SLOW_READER);
      close(ConnectionCloseReason.SLOW_READER);
      return;
    }
    RequestProgress progress = progress();
    long quietMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUsedNs);
    if (quietMs <= progress.maxQuietMs(idleLimits, traffic.callerLimits())) {
      return;
    }
    if (progress == RequestProgress.READING) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT);
      return;
    }
    close(ConnectionCloseReason.IDLE_TIMEOUT);
  }

  /** Returns whether the caller can still receive a response. */
  boolean isConnected() {
    return channel.isActive();
  }

  private int idleTimeoutMs() {
    return Math.max(idleLimits.idleTimeoutMs(), traffic.callerLimits().idleTimeoutMs());
  }

  /** Returns whether no request is being received or served and all responses have been sent. */
  boolean isIdle() {
    return progress() == RequestProgress.NONE;
  }

  /** Returns whether a call is open or its response has not been sent completely. */
  boolean servesCall() {
    RequestProgress progress = progress();
    return progress == RequestProgress.OPEN || progress == RequestProgress.RESPONDING;
  }

  /** Closes the connection; a request on it gets no complete response. */
  void close(ConnectionCloseReason reason) {
    reportClose(reason);
    channel.close();
  }

  private void reportClose(ConnectionCloseReason reason) {
    RequestProgress progress = progress();
    if (progress == RequestProgress.NONE) {
      return;
    }
    OptionalLong id = call == null ? OptionalLong.empty() : OptionalLong.of(call.spec().id());
    traffic.submit(atMs -> new CallerConnectionClosed(atMs, id, reason, progress));
  }

  private RequestProgress progress() {
    if (call != null) {
      return RequestProgress.OPEN;
    }
    if (head != null) {
      return RequestProgress.READING;
    }
    boolean sending = lastResponse != null && !lastResponse.isDone();
    return sending ? RequestProgress.RESPONDING : RequestProgress.NONE;
  }

  /** Writes the head of a streamed response, which is chunked because its length is unknown. */
  void writeStreamHead(HttpResponse engineHead) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, engineHead.status());
    HopByHopHeaders.copyEndToEnd(engineHead.headers(), response.headers());
    HttpUtil.setTransferEncodingChunked(response, true);
    setConnectionHeader(response.headers());
    channel.write(response);
  }

  /** Writes complete events of a streamed response. */
  void writeStreamContent(ByteBuf events) {
    int lengthBytes = events.readableBytes();
    ChannelFuture write = channel.writeAndFlush(new DefaultHttpContent(events));
    if (!unsent.add(write, lengthBytes) || !channel.isWritable()) {
      traffic.callerWritabilityChanged(call, false);
      write.addListener(taken -> resumeStream());
    }
  }

  private void resumeStream() {
    if (call != null && unsent.isEmpty()) {
      traffic.callerWritabilityChanged(call, channel.isWritable());
    }
  }

  /** Completes a streamed response. */
  void endStream() {
    responseWritten(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), 0);
  }

  /** Writes a complete response of an engine. */
  void writeResponse(HttpResponse engineHead, byte[] content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, engineHead.status(), Unpooled.wrappedBuffer(content));
    HopByHopHeaders.copyEndToEnd(engineHead.headers(), response.headers());
    write(response);
  }

  /**
   * Writes a response that the gateway itself generates.
   *
   * @param reply status and outcome
   * @param retryAfterMs time after which the caller may retry, in milliseconds; 0 if not stated
   */
  void reply(Reply reply, long retryAfterMs) {
    write(ProblemDetails.response(reply, retryAfterMs));
  }

  /**
   * Closes the connection, so that the caller doesn't mistake a truncated response for a complete
   * one.
   */
  void abort() {
    call = null;
    body.close();
    channel.close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    traffic.callerConnected(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    traffic.recordRead();
    read(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    traffic.callerDisconnected(this);
    body.close();
    if (call != null) {
      long id = call.spec().id();
      call.callerDisconnected();
      call = null;
      traffic.removeCall(id);
      traffic.submit(atMs -> new CallCancelled(atMs, id));
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (call != null) {
      traffic.callerWritabilityChanged(call, channel.isWritable());
    }
  }

  /** Closes the connection after an I/O error; {@link #channelInactive} then ends the call. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reportClose(ConnectionCloseReason.CONNECTION_ERROR);
    context.close();
  }

  private void read(Object message) {
    try {
      if (message instanceof HttpRequest request) {
        readHead(request);
      }
      if (message instanceof HttpContent content && head != null) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpRequest request) {
    lastUsedNs = System.nanoTime();
    if (request.decoderResult().cause() instanceof NoHeadMemoryException) {
      rejectForMemory();
      return;
    }
    if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
      reject(
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > traffic.callerLimits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
    head = request;
    keepAlive = HttpUtil.isKeepAlive(request);
  }

  private void readContent(HttpContent content) {
    if (content.decoderResult().cause() instanceof NoHeadMemoryException) {
      rejectForMemory();
      return;
    }
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    lastUsedNs = System.nanoTime();
    ByteBuf bytes = content.content();
    if (body.lengthBytes() + bytes.readableBytes() > traffic.callerLimits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    if (!body.append(bytes)) {
      rejectForMemory();
      return;
    }
    if (content instanceof LastHttpContent) {
      byte[] bodyBytes = body.toByteArray();
      body.dropContent();
      HttpRequest requestHead = head;
      head = null;
      call = traffic.openCall(requestHead, bodyBytes, this);
    }
  }

  private void reject(HttpResponseStatus status) {
    beginReject();
    write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status));
  }

  private void rejectForMemory() {
    reportClose(ConnectionCloseReason.NO_MEMORY);
    beginReject();
    reply(Reply.NO_MEMORY, RETRY_AFTER_NO_MEMORY_MS);
  }

  /** Drops the request that is being received. The rest of it is skipped. */
  private void beginReject() {
    head = null;
    keepAlive = false;
  }

  private void write(FullHttpResponse response) {
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    setConnectionHeader(response.headers());
    int lengthBytes = response.content().readableBytes();
    responseWritten(channel.writeAndFlush(response), lengthBytes);
  }

  private void setConnectionHeader(HttpHeaders headers) {
    keepAlive = keepAlive && !traffic.draining();
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void responseWritten(ChannelFuture write, int lengthBytes) {
    unsent.add(write, lengthBytes);
    if (call != null) {
      traffic.removeCall(call.spec().id());
    }
    call = null;
    body.close();
    lastResponse = write;
    idleLimits = traffic.callerLimits();
    lastUsedNs = System.nanoTime();
    write.addListener(sent -> lastUsedNs = System.nanoTime());
    if (!keepAlive) {
      write.addListener(ChannelFutureListener.CLOSE);
    }
  }
}
