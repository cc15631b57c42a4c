package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.decision.RequestProgress;
import org.limpetdoor.core.decision.RequestRejection;
import org.limpetdoor.core.event.CallCancelled;
import org.limpetdoor.core.event.CallerConnectionClosed;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.runtime.http.LingeringClose;
import org.limpetdoor.runtime.http.RequestReceiver;
import org.limpetdoor.runtime.http.UnsentResponses;

/**
 * A connection from a caller, which has at most one open call at a time. Confined to the traffic
 * thread.
 */
final class CallerChannel extends ChannelInboundHandlerAdapter {
  private final GatewayTraffic traffic;
  private Channel channel;
  private final RequestReceiver receiver;
  private final UnsentResponses unsent;
  private OpenCall call;
  private ChannelFuture lastResponse;
  private CallerLimits idleLimits;
  private boolean keepAlive = true;
  private boolean refused;
  private long lastUsedNs = System.nanoTime();

  CallerChannel(GatewayTraffic traffic) {
    this.traffic = traffic;
    this.idleLimits = traffic.callerLimits();
    this.receiver =
        new RequestReceiver(
            traffic.bounds().memories().requests(),
            () -> traffic.callerLimits().maxBodyBytes(),
            new Requests());
    this.unsent = new UnsentResponses(traffic.bounds().memories().responses());
  }

  private final class Requests implements RequestReceiver.Sink {
    @Override
    public void received(HttpRequest head, byte[] body) {
      keepAlive = HttpUtil.isKeepAlive(head);
      call = traffic.openCall(head, body, CallerChannel.this);
    }

    @Override
    public void refused(RequestRejection reason) {
      keepAlive = false;
      refused = true;
      if (reason == RequestRejection.NO_MEMORY) {
        reportClose(ConnectionCloseReason.NO_MEMORY);
        reply(Reply.NO_MEMORY, reason.retryAfterMs());
        return;
      }
      write(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reason.status())));
    }
  }

  /**
   * Closes the connection if it has made no progress for too long. A caller that stalls in the
   * middle of a request gets a response.
   */
  void closeIfStalled() {
    if (unsent.isStalled(channel, idleTimeoutMs())) {
      traffic.bounds().overloads().accept(OverloadReason.SLOW_READER);
      close(ConnectionCloseReason.SLOW_READER);
      return;
    }
    RequestProgress progress = progress();
    long quietMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUsedNs);
    if (quietMs <= progress.maxQuietMs(idleLimits, traffic.callerLimits())) {
      return;
    }
    if (progress == RequestProgress.READING) {
      receiver.refuse(RequestRejection.RECEIVE_TIMEOUT);
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
    if (receiver.isReceiving()) {
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
  void writeResponse(HttpResponse engineHead, ByteBuf content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, engineHead.status(), content);
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
    receiver.close();
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
    receiver.close();
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
      lastUsedNs = System.nanoTime();
      receiver.read(channel, message);
    } finally {
      ReferenceCountUtil.release(message);
    }
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
    receiver.close();
    lastResponse = write;
    idleLimits = traffic.callerLimits();
    lastUsedNs = System.nanoTime();
    write.addListener(sent -> lastUsedNs = System.nanoTime());
    if (!keepAlive) {
      write.addListener(refused ? LingeringClose.INSTANCE : ChannelFutureListener.CLOSE);
    }
  }
}
