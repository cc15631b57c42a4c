package org.limpetdoor.entry;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.decision.RequestRejection;
import org.limpetdoor.core.request.Outcome;
import org.limpetdoor.entry.traffic.Problem;
import org.limpetdoor.entry.traffic.ServedRequest;
import org.limpetdoor.runtime.http.HeadMemory;
import org.limpetdoor.runtime.http.LingeringClose;
import org.limpetdoor.runtime.http.RequestReceiver;
import org.limpetdoor.runtime.http.UnsentResponses;

/**
 * A connection of the HTTP server with bounds on what it holds: the server behind it gets complete
 * requests only, and responses count in memory until the socket has taken them. Confined to the
 * event loop of the connection, but for {@link #servesCall}.
 */
final class BoundedConnection extends ChannelDuplexHandler implements RequestReceiver.Sink {
  /**
   * Time without a byte in either direction after which a request that is being received is
   * refused, and a caller that takes no response is closed, in seconds.
   */
  private static final long STALL_TIMEOUT_S = 30;

  private final ListenerBounds bounds;
  private final HeadMemory heads;
  private final RequestReceiver receiver;
  private final UnsentResponses unsent;
  private ChannelHandlerContext context;
  private volatile boolean serving;

  BoundedConnection(ListenerBounds bounds, HeadMemory heads) {
    this.bounds = bounds;
    this.heads = heads;
    this.receiver = new RequestReceiver(bounds.memories().requests(), bounds::maxBodyBytes, this);
    this.unsent = new UnsentResponses(bounds.memories().responses());
  }

  /** Returns the handler that notices connections without progress. */
  static IdleStateHandler stallTimeout() {
    return new IdleStateHandler(true, 0, 0, STALL_TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Returns whether a request of the connection has no complete response. For any thread. */
  static boolean servesCall(Channel connection) {
    BoundedConnection handler = connection.pipeline().get(BoundedConnection.class);
    return handler != null && handler.serving;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  @Override
  public void channelRead(ChannelHandlerContext from, Object message) {
    try {
      receiver.read(from.channel(), message);
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void received(HttpRequest head, byte[] body) {
    serving = true;
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            head.protocolVersion(),
            head.method(),
            head.uri(),
            Unpooled.wrappedBuffer(body),
            head.headers(),
            EmptyHttpHeaders.INSTANCE);
    HttpUtil.setTransferEncodingChunked(request, false);
    if (body.length > 0) {
      HttpUtil.setContentLength(request, body.length);
    }
    context.fireChannelRead(request);
  }

  @Override
  public void refused(RequestRejection reason) {
    HttpResponseStatus status = HttpResponseStatus.valueOf(reason.status());
    Problem problem =
        Problem.of(status.code(), reason.label(), status.reasonPhrase(), Outcome.NOT_RUN);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            Unpooled.copiedBuffer(problem.toJson(), StandardCharsets.UTF_8));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, Problem.MEDIA_TYPE)
        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (reason.retryAfterMs() > 0) {
      response
          .headers()
          .set(HttpHeaderNames.RETRY_AFTER, TimeUnit.MILLISECONDS.toSeconds(reason.retryAfterMs()));
    }
    receiver.close();
    context.writeAndFlush(response).addListener(LingeringClose.INSTANCE);
  }

  @Override
  public void write(ChannelHandlerContext to, Object message, ChannelPromise promise) {
    if (!(message instanceof HttpContent content)) {
      to.write(message, promise);
      return;
    }
    int lengthBytes = content.content().readableBytes();
    boolean last = message instanceof LastHttpContent;
    if (last) {
      ServedRequest.responseWritten(to.channel());
    }
    ChannelFuture write = to.write(message, promise.unvoid());
    unsent.add(write, lengthBytes);
    if (last) {
      write.addListener(taken -> responseTaken());
    }
  }

  private void responseTaken() {
    serving = false;
    receiver.close();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext from, Object event) {
    if (event instanceof IdleStateEvent) {
      closeIfStalled();
    } else {
      from.fireUserEventTriggered(event);
    }
  }

  private void closeIfStalled() {
    if (receiver.isReceiving()) {
      receiver.refuse(RequestRejection.RECEIVE_TIMEOUT);
    } else if (!unsent.isEmpty()) {
      bounds.overload().accept(OverloadReason.SLOW_READER);
      context.close();
    } else if (!serving && !heads.isEmpty()) {
      context.close();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext from) {
    serving = false;
    receiver.close();
    ServedRequest.responseWritten(from.channel());
    from.fireChannelInactive();
  }
}
