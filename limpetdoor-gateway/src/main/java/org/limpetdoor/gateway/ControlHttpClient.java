package org.limpetdoor.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client for the store and the control interfaces of engines. A request that times out closes
 * its connection, because no more data may arrive on it after a lost response.
 */
public final class ControlHttpClient {
  /**
   * Round trips take at most tens of milliseconds; a longer time means that the address is
   * unreachable.
   */
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final EventLoop loop;
  private final int maxResponseBytes;
  private final Map<String, Deque<Channel>> idle = new HashMap<>();

  /**
   * Creates a client.
   *
   * @param loop event loop that handles its connections
   * @param maxResponseBytes longest response, in bytes; a longer one fails its request
   */
  public ControlHttpClient(EventLoop loop, int maxResponseBytes) {
    this.loop = loop;
    this.maxResponseBytes = maxResponseBytes;
  }

  /**
   * A request.
   *
   * @param method HTTP method
   * @param uri path and query
   * @param contentType content type; empty if there is no body
   * @param body request body; may be empty
   * @param headers additional headers
   */
  // The body is only written and never compared, so array equality doesn't matter.
  @SuppressWarnings("ArrayRecordComponent")
  public record Request(
      HttpMethod method,
      String uri,
      String contentType,
      byte[] body,
      Map<String, String> headers) {}

  /**
   * A response.
   *
   * @param status HTTP status
   * @param headers response headers
   * @param body complete response body
   */
  // The body is only read and never compared, so array equality doesn't matter.
  @SuppressWarnings("ArrayRecordComponent")
  public record Response(int status, HttpHeaders headers, byte[] body) {}

  /**
   * Sends a request. The future completes on the traffic thread; it fails with a {@link
   * ControlRequestFailedException} if no complete response arrives in time.
   *
   * @param address address as {@code ip:port}
   * @param request the request
   * @param timeoutMs time limit from sending the request to the end of the response, in
   *     milliseconds
   */
  public CompletableFuture<Response> send(String address, Request request, long timeoutMs) {
    CompletableFuture<Response> response = new CompletableFuture<>();
    if (loop.inEventLoop()) {
      start(address, request, timeoutMs, response);
    } else {
      loop.execute(() -> start(address, request, timeoutMs, response));
    }
    return response;
  }

  private void start(
      String address, Request request, long timeoutMs, CompletableFuture<Response> response) {
    Channel channel = pollIdle(address);
    if (channel != null) {
      write(channel, address, request, timeoutMs, response);
      return;
    }
    ChannelFuture connecting = connect(address);
    connecting.addListener(
        done -> {
          if (done.isSuccess()) {
            write(connecting.channel(), address, request, timeoutMs, response);
          } else {
            response.completeExceptionally(
                new ControlRequestFailedException(address, false, done.cause()));
          }
        });
  }

  private void write(
      Channel channel,
      String address,
      Request request,
      long timeoutMs,
      CompletableFuture<Response> response) {
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.uri(),
            Unpooled.wrappedBuffer(request.body()));
    message.headers().set(HttpHeaderNames.HOST, address);
    message.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    if (!request.contentType().isEmpty()) {
      message.headers().set(HttpHeaderNames.CONTENT_TYPE, request.contentType());
    }
    request.headers().forEach(message.headers()::set);
    ScheduledFuture<?> timeout =
        loop.schedule(
            () -> {
              response.completeExceptionally(
                  new ControlRequestFailedException(address, true, null));
              channel.close();
            },
            timeoutMs,
            TimeUnit.MILLISECONDS);
    channel.pipeline().get(ResponseHandler.class).expect(response, timeout);
    channel.writeAndFlush(message);
  }

  private Channel pollIdle(String address) {
    Deque<Channel> channels = idle.getOrDefault(address, new ArrayDeque<>());
    while (!channels.isEmpty()) {
      Channel channel = channels.pollLast();
      if (channel.isActive()) {
        return channel;
      }
    }
    idle.remove(address);
    return null;
  }

  private ChannelFuture connect(String address) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                EndOfInput endOfInput = new EndOfInput();
                channel
                    .pipeline()
                    .addLast(endOfInput)
                    .addLast(new HttpRequestEncoder())
                    .addLast(new ResponseDecoder())
                    .addLast(new HttpObjectAggregator(maxResponseBytes))
                    .addLast(new ResponseHandler(address, endOfInput));
              }
            })
        .connect(socketAddress(address));
  }

  /** Returns the socket address of {@code ip:port}. */
  static InetSocketAddress socketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }

  private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final String address;
    private final EndOfInput endOfInput;
    private CompletableFuture<Response> pendingResponse;
    private ScheduledFuture<?> timeout;

    ResponseHandler(String address, EndOfInput endOfInput) {
      this.address = address;
      this.endOfInput = endOfInput;
    }

    void expect(CompletableFuture<Response> response, ScheduledFuture<?> deadline) {
      pendingResponse = response;
      timeout = deadline;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse message) {
      if (pendingResponse == null || message.decoderResult().isFailure() || !isWhole(context)) {
        context.close();
        return;
      }
      if (message.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
        return;
      }
      CompletableFuture<Response> response = pendingResponse;
      pendingResponse = null;
      timeout.cancel(false);
      if (HttpUtil.isKeepAlive(message)) {
        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(context.channel());
      } else {
        context.close();
      }
      response.complete(
          new Response(
              message.status().code(), message.headers(), ByteBufUtil.getBytes(message.content())));
    }

    /**
     * Returns whether a response is whole. The decoder also ends one without a length when the
     * connection is lost.
     */
    private boolean isWhole(ChannelHandlerContext context) {
      return context.channel().isActive() || endOfInput.isReached();
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof ChannelInputShutdownEvent) {
        context.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      Deque<Channel> channels = idle.get(address);
      if (channels != null) {
        channels.remove(context.channel());
      }
      if (pendingResponse != null) {
        timeout.cancel(false);
        pendingResponse.completeExceptionally(
            new ControlRequestFailedException(address, true, null));
        pendingResponse = null;
      }
    }

    /** Closes the connection; {@link #channelInactive} then fails the request. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
