package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
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
import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.event.CallAbandoned;
import org.limpetdoor.core.gateway.Reply;

/** A connection of a caller, which has one call open at a time. Used by the traffic thread only. */
final class CallerChannel extends ChannelInboundHandlerAdapter {
  /** Messages of further requests that are kept before the connection is read no more. */
  private static final int MAX_AHEAD = 16;

  private static final double MS_PER_S = 1_000;

  private final GatewayTraffic traffic;
  private final Deque<Object> ahead = new ArrayDeque<>();
  private Channel channel;
  private HttpRequest head;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private OpenCall call;
  private boolean keepAlive = true;
  private long lastUsedNs = System.nanoTime();

  CallerChannel(GatewayTraffic traffic) {
    this.traffic = traffic;
  }

  /** Returns how long the connection has been without an open call, in milliseconds. */
  long idleMs() {
    return call != null ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastUsedNs);
  }

  /** Returns whether no part of a call has arrived that is not answered. */
  boolean isIdle() {
    return call == null && head == null;
  }

  void close() {
    channel.close();
  }

  /** Writes the head of a streamed answer; the length is not known. */
  void writeStreamHead(HttpResponse from) {
    HttpResponse answer = new DefaultHttpResponse(HttpVersion.HTTP_1_1, from.status());
    HopByHopHeaders.copyEndToEnd(from.headers(), answer.headers());
    HttpUtil.setTransferEncodingChunked(answer, true);
    noteClose(answer.headers());
    channel.write(answer);
  }

  /** Writes whole events. */
  void writeStreamPart(ByteBuf events) {
    channel.writeAndFlush(new DefaultHttpContent(events));
  }

  /** Ends a streamed answer that is whole. */
  void endStream() {
    answered(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
  }

  /** Writes a whole answer of an engine. */
  void writeWhole(HttpResponse from, byte[] content) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, from.status(), Unpooled.wrappedBuffer(content));
    HopByHopHeaders.copyEndToEnd(from.headers(), answer.headers());
    write(answer);
  }

  /** Answers in place of an engine. */
  void reply(Reply reply, long retryAfterMs) {
    FullHttpResponse answer =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            ProblemDetails.body(reply));
    answer.headers().set(HttpHeaderNames.CONTENT_TYPE, ProblemDetails.CONTENT_TYPE);
    if (retryAfterMs > 0) {
      answer.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterMs / MS_PER_S);
    }
    write(answer);
  }

  /** Closes the connection, so that an answer that is not whole does not look so. */
  void breakOff() {
    call = null;
    channel.close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    traffic.callerConnected(this);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (call != null) {
      ahead.addLast(message);
      channel.config().setAutoRead(ahead.size() < MAX_AHEAD);
      return;
    }
    read(message);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    traffic.callerGone(this);
    ahead.forEach(ReferenceCountUtil::release);
    ahead.clear();
    if (call != null) {
      long id = call.spec().id();
      call.callerLeft();
      call = null;
      traffic.forget(id);
      traffic.submit(atMs -> new CallAbandoned(atMs, id));
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (call != null) {
      traffic.callerWritable(call, channel.isWritable());
    }
  }

  /** A reset of the connection; its end follows. */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }

  private void read(Object message) {
    try {
      if (message instanceof HttpRequest request) {
        headRead(request);
      }
      if (message instanceof HttpContent content && head != null) {
        contentRead(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void headRead(HttpRequest request) {
    lastUsedNs = System.nanoTime();
    if (request.decoderResult().isFailure()) {
      boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
      reject(
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > traffic.limits().maxBodyBytes()) {
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

  private void contentRead(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST);
      return;
    }
    ByteBuf part = content.content();
    if (body.size() + part.readableBytes() > traffic.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
      return;
    }
    body.writeBytes(ByteBufUtil.getBytes(part));
    if (content instanceof LastHttpContent) {
      byte[] bytes = body.toByteArray();
      body.reset();
      HttpRequest whole = head;
      head = null;
      call = traffic.open(whole, bytes, this);
    }
  }

  private void reject(HttpResponseStatus status) {
    head = null;
    body.reset();
    keepAlive = false;
    write(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status));
  }

  private void write(FullHttpResponse answer) {
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, answer.content().readableBytes());
    noteClose(answer.headers());
    answered(channel.writeAndFlush(answer));
  }

  private void noteClose(HttpHeaders headers) {
    keepAlive = keepAlive && !traffic.draining();
    if (!keepAlive) {
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void answered(ChannelFuture written) {
    if (call != null) {
      traffic.forget(call.spec().id());
    }
    call = null;
    lastUsedNs = System.nanoTime();
    if (!keepAlive) {
      written.addListener(ChannelFutureListener.CLOSE);
      return;
    }
    channel.config().setAutoRead(true);
    while (call == null && !ahead.isEmpty()) {
      read(ahead.pollFirst());
    }
  }
}
