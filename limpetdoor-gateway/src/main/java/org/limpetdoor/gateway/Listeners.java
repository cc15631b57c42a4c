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
import java.net.InetSocketAddress;
import java.util.function.Function;
import org.limpetdoor.runtime.AcceptLimit;
import org.limpetdoor.runtime.http.ConnectionCapacity;
import org.limpetdoor.runtime.http.PacedHttpCodec;

/** Binds the listening sockets of a gateway. */
final class Listeners {
  /**
   * Maximum number of connections that wait to be accepted; a full queue delays callers by seconds.
   */
  private static final int BACKLOG = 1_024;

  private static final int MAX_MONITORING_REQUEST_BYTES = 4_096;

  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 1 << 10;

  /**
   * Longest read from a connection. A connection may hold this many bytes that are not decoded, and
   * with Netty's 64 kB a thousand connections would hold 64 MB outside of the heap.
   */
  private static final int MAX_READ_BYTES = 8 << 10;

  /**
   * Receive buffer of an accepted socket. What a caller has sent ahead is in the memory of the
   * machine and has to be decoded even if the caller has left; Linux lets it grow to megabytes.
   */
  private static final int RECEIVE_BUFFER_BYTES = 32 << 10;

  /** Number of buffers that are read from a socket before the others have their turn. */
  private static final int MAX_READS = 16;

  /**
   * Reads each socket until it has nothing left. A busy process finds a request and the end of its
   * connection at the same time, and must not send the request to an engine before it has seen the
   * end.
   */
  private static final RecvByteBufAllocator READ_UNTIL_EMPTY =
      new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS);

  private Listeners() {}

  /** Listens for callers. */
  static Channel listenForCallers(
      EventLoopGroup group, InetSocketAddress address, GatewayTraffic traffic) {
    return open(
        group,
        address,
        new AcceptLimit(ConnectionCapacity.ofCallers(), Listeners::servesCall, traffic.overloads()),
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            HttpDecoderConfig config =
                new HttpDecoderConfig()
                    .setMaxInitialLineLength(traffic.callerLimits().maxHeaderBytes())
                    .setMaxHeaderSize(traffic.callerLimits().maxHeaderBytes());
            channel
                .pipeline()
                .addLast(new PacedHttpCodec(config, traffic.headMemory(), traffic.decodeTurns()))
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
        new AcceptLimit(ConnectionCapacity.ofMonitoring(), channel -> false, traffic.overloads()),
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(SocketChannel channel) {
            channel
                .pipeline()
                .addLast(MonitoringHandler.idleTimeout())
                .addLast(
                    new PacedHttpCodec(
                        new HttpDecoderConfig(), traffic.headMemory(), traffic.decodeTurns()))
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
        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.RCVBUF_ALLOCATOR, READ_UNTIL_EMPTY)
        .childHandler(child)
        .bind(address)
        .syncUninterruptibly()
        .channel();
  }
}
