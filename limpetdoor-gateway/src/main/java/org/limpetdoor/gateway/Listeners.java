package org.limpetdoor.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.function.Function;

/** Binds the listening sockets of a gateway. */
final class Listeners {
  /**
   * Maximum number of connections that wait to be accepted; a full queue delays callers by seconds.
   */
  private static final int BACKLOG = 1_024;

  /** Number of buffers that are read from a socket before the others have their turn. */
  private static final int MAX_READS = 16;

  /**
   * Reads each socket until it has nothing left. A busy process finds a request and the end of its
   * connection at the same time, and must not send the request to an engine before it has seen the
   * end.
   */
  private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator().respectMaybeMoreData(false).maxMessagesPerRead(MAX_READS);

  private static final int MAX_MONITORING_REQUEST_BYTES = 4_096;

  private Listeners() {}

  /** Listens for callers. */
  static Channel listenForCallers(
      EventLoopGroup group, InetSocketAddress address, GatewayTraffic traffic) {
    return open(
        group,
        address,
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            HttpDecoderConfig config =
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(traffic.callerLimits().maxHeaderBytes())
                    .setMaxHeaderSize(traffic.callerLimits().maxHeaderBytes());
            channel
                .pipeline()
                .addLast(new HttpServerCodec(config))
                .addLast(new CallerChannel(traffic));
          }
        });
  }

  /** Listens for readiness checks or metrics scrapes. */
  static Channel listenForMonitoring(
      EventLoopGroup group,
      InetSocketAddress address,
      Function<String, MonitoringHandler.Response> responder) {
    return open(
        group,
        address,
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            channel
                .pipeline()
                .addLast(new HttpServerCodec())
                .addLast(new HttpObjectAggregator(MAX_MONITORING_REQUEST_BYTES))
                .addLast(new MonitoringHandler(responder));
          }
        });
  }

  private static Channel open(
      EventLoopGroup group, InetSocketAddress address, ChannelInitializer<SocketChannel> child) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, READ_UNTIL_EMPTY)
        .childHandler(child)
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }
}
