package org.limpetdoor.runtime.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.limits.ConnectionThreshold;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.runtime.AcceptLimit;
import org.limpetdoor.runtime.SocketReads;

/**
 * Links to other instances over TCP. The transport accepts links, dials peers and sends messages;
 * the reducer of the control state decides which peers to dial and what to send.
 */
public final class PeerTransport implements AutoCloseable {
  private static final int LENGTH_BYTES = 4;
  private static final int NONCE_BYTES = 16;
  private static final int CONNECT_TIMEOUT_MS = 2_000;
  private static final long SHUTDOWN_TIMEOUT_MS = 1_000;

  /**
   * Bytes queued for a peer from which a link takes no more messages, as a multiple of the longest
   * frame. A message of that length must not end the link because a shorter one follows it.
   */
  private static final int MAX_QUEUED_FRAMES = 2;

  /**
   * Accepted connections of peers. A fleet has fewer than a hundred instances, each with one link;
   * the rest is for links that are replaced. A link that is established is never closed for others.
   */
  private static final int MAX_ACCEPTED = 256;

  private final PeerTransportSettings settings;
  private final PeerListener listener;
  private final EventLoopGroup group;
  private final boolean ownsGroup;
  private final SecureRandom random = new SecureRandom();
  private final Map<InstanceId, Channel> links = new ConcurrentHashMap<>();
  private final Channel server;

  private PeerTransport(
      PeerTransportSettings settings,
      PeerListener listener,
      EventLoopGroup group,
      boolean ownsGroup,
      Consumer<OverloadReason> overload) {
    this.settings = settings;
    this.listener = listener;
    this.group = group;
    this.ownsGroup = ownsGroup;
    this.server =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .handler(
                new AcceptLimit(
                    new ConnectionThreshold(MAX_ACCEPTED), links::containsValue, overload))
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, queueBounds())
            .childOption(ChannelOption.RCVBUF_ALLOCATOR, SocketReads.bounded())
            .childHandler(initializer(LinkRole.ACCEPTOR, "accepted"))
            .bind(settings.address())
            .syncUninterruptibly()
            .channel();
  }

  /** Starts a transport that runs on a thread of its own. */
  public static PeerTransport start(PeerTransportSettings settings, PeerListener listener) {
    EventLoopGroup own = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    return new PeerTransport(settings, listener, own, true, overload -> {});
  }

  /**
   * Starts a transport that runs on an existing traffic thread, which it does not shut down.
   *
   * @param overload receives the reason for each connection that is closed as one too many
   */
  public static PeerTransport start(
      PeerTransportSettings settings,
      PeerListener listener,
      EventLoopGroup group,
      Consumer<OverloadReason> overload) {
    return new PeerTransport(settings, listener, group, false, overload);
  }

  /** Returns the address on which links are accepted. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.localAddress();
  }

  /** Dials a peer. The outcome is reported to the listener. */
  public void connect(InetSocketAddress address) {
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, queueBounds())
        .option(ChannelOption.RCVBUF_ALLOCATOR, SocketReads.bounded())
        .handler(initializer(LinkRole.DIALER, address.toString()))
        .connect(address)
        .addListener(
            future -> {
              if (!future.isSuccess()) {
                listener.linkFailed(address.toString(), LinkError.CONNECT_FAILED);
              }
            });
  }

  /** Sends a message, or drops it if there is no link to the peer. */
  public void send(InstanceId peer, byte[] payload) {
    Channel channel = links.get(peer);
    if (channel != null) {
      channel.writeAndFlush(new LinkEvent.MessageQueued(payload));
    }
  }

  /** Closes the link to a peer, if there is one. */
  public void disconnect(InstanceId peer) {
    Channel channel = links.get(peer);
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void close() {
    server.close().syncUninterruptibly();
    links.values().forEach(Channel::close);
    if (ownsGroup) {
      group.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
  }

  private WriteBufferWaterMark queueBounds() {
    return new WriteBufferWaterMark(
        settings.maxFrameBytes(), MAX_QUEUED_FRAMES * settings.maxFrameBytes());
  }

  private ChannelInitializer<SocketChannel> initializer(LinkRole role, String label) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        LinkHandler link = new LinkHandler(initialState(role), listener, links, label);
        channel
            .pipeline()
            .addLast(new ReadTimeoutHandler(settings.silenceTimeoutMs(), TimeUnit.MILLISECONDS))
            .addLast(new FrameDecoder(settings.maxFrameBytes(), LENGTH_BYTES, link::isEstablished))
            .addLast(new LengthFieldPrepender(LENGTH_BYTES))
            .addLast(link);
      }
    };
  }

  private LinkState initialState(LinkRole role) {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return LinkState.initial(
        role, settings.self(), new Authenticator(settings.secret()), Nonce.of(nonce));
  }
}
