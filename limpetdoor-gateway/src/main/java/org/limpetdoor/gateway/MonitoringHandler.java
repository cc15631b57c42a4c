package org.limpetdoor.gateway;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** Responds to readiness checks of the load balancer and to metrics scrapes. */
final class MonitoringHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
  /**
   * A plain-text response.
   *
   * @param status HTTP status
   * @param text response body
   */
  record Response(int status, String text) {}

  /**
   * Time after which a connection is closed that neither sends nor takes a byte, in seconds. Checks
   * and scrapes on the same connection are a few seconds apart.
   */
  private static final long IDLE_TIMEOUT_S = 60;

  private final Function<String, Response> responder;

  /** Creates a handler that maps the path of a request to its response. */
  MonitoringHandler(Function<String, Response> responder) {
    this.responder = responder;
  }

  /** Returns the handler that notices connections without progress. */
  static IdleStateHandler idleTimeout() {
    return new IdleStateHandler(true, 0, 0, IDLE_TIMEOUT_S, TimeUnit.SECONDS);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof IdleStateEvent) {
      context.close();
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    if (request.decoderResult().isFailure()) {
      // The rest of what the peer sends is skipped, so that no other request can follow.
      context
          .writeAndFlush(
              new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST))
          .addListener(ChannelFutureListener.CLOSE);
      return;
    }
    Response response = responder.apply(request.uri());
    FullHttpResponse message =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            Unpooled.copiedBuffer(response.text(), StandardCharsets.UTF_8));
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, message.content().readableBytes());
    message.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
    ChannelFuture written = context.writeAndFlush(message);
    if (!HttpUtil.isKeepAlive(request)) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    context.close();
  }
}
