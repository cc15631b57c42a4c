package org.limpetdoor.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.limpetdoor.runtime.AcceptLimit;
import org.limpetdoor.runtime.http.CallerBuffers;
import org.limpetdoor.runtime.http.ConnectionCapacity;
import org.limpetdoor.runtime.http.PacedWrites;

/** Binds the listening sockets of a gateway. */
final class Listeners {
  /**
   * Maximum number of connections that wait to be accepted; a full queue delays callers by seconds.
   */
  private static final int BACKLOG = 1_024;

  private static final int MAX_MONITORING_REQUEST_BYTES = 4_096;

  private Listeners() {}

  /** Listens for callers. */
  static Channel listenForCallers(
      EventLoopGroup group, InetSocketAddress address, GatewayTraffic traffic) {
    return open(
        group,
        address,
        new AcceptLimit(
            ConnectionCapacity.ofCallers(), Listeners::servesCall, traffic.bounds().overloads()),
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            CallerBuffers.configure(channel.config());
            HttpDecoderConfig config =
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(traffic.callerLimits().maxHeaderBytes())
                    .setMaxHeaderSize(traffic.callerLimits().maxHeaderBytes());
            channel
                .pipeline()
                .addLast(new PacedWrites())
                .addLast(traffic.bounds().codec(config))
                .addLast(new CallerChannel(traffic));
          }
        });
  }

  /** Listens for readiness checks or metrics scrapes. */
  static Channel listenForMonitoring(
      EventLoopGroup group,
      InetSocketAddress address,
      GatewayTraffic traffic,
      Function<String, MonitoringHandler.Response> responder) {
    return open(
        group,
        address,
        new AcceptLimit(
            ConnectionCapacity.ofMonitoring(), channel -> false, traffic.bounds().overloads()),
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            CallerBuffers.configure(channel.config());
            channel
                .pipeline()
                .addLast(MonitoringHandler.idleTimeout())
                .addLast(new PacedWrites())
                .addLast(traffic.bounds().codec(new HttpDecoderConfig()))
                .addLast(new HttpObjectAggregator(MAX_MONITORING_REQUEST_BYTES))
                .addLast(new MonitoringHandler(responder));
          }
        });
  }

  private static boolean servesCall(Channel channel) {
    CallerChannel caller = channel.pipeline().get(CallerChannel.class);
    return caller != null && caller.servesCall();
  }

  private static Channel open(
      EventLoopGroup group,
      InetSocketAddress address,
      AcceptLimit limit,
      ChannelInitializer<SocketChannel> child) {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .handler(limit)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_RCVBUF, CallerBuffers.RECEIVE_BUFFER_BYTES)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(child)
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }
}
