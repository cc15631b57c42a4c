package org.limpetdoor.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.EventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.limits.ConnectionThreshold;

/**
 * Bounds the connections that a listening socket has accepted. It is a handler of the listening
 * channel and confined to its thread; the accepted connections may have other threads.
 */
public final class AcceptLimit extends ChannelInboundHandlerAdapter {
  private final ConnectionThreshold threshold;
  private final Predicate<Channel> serving;
  private final Consumer<OverloadReason> overload;

  /** Open connections of each address, the oldest first. */
  private final Map<InetAddress, Set<Channel>> open = new HashMap<>();

  private int openCount;

  /**
   * Creates a limit.
   *
   * @param threshold decides about a new connection
   * @param serving whether a connection serves a request, so that it isn't closed for another one;
   *     called on the thread of the listening channel
   * @param overload receives the reason for each connection that is closed
   */
  public AcceptLimit(
      ConnectionThreshold threshold,
      Predicate<Channel> serving,
      Consumer<OverloadReason> overload) {
    this.threshold = threshold;
    this.serving = serving;
    this.overload = overload;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    Channel accepted = (Channel) message;
    InetAddress address = addressOf(accepted.remoteAddress());
    int ofAddress = open.getOrDefault(address, Set.of()).size();
    if (!threshold.allows(ofAddress + 1, openCount + 1)) {
      overload.accept(OverloadReason.CONNECTIONS);
      Optional<Channel> replaced = oldestWithoutRequest(address);
      if (replaced.isEmpty()) {
        // The channel is not registered yet, so that close() would not be executed.
        accepted.unsafe().closeForcibly();
        return;
      }
      remove(addressOf(replaced.get().remoteAddress()), replaced.get());
      replaced.get().close();
    }
    open.computeIfAbsent(address, key -> new LinkedHashSet<>()).add(accepted);
    openCount++;
    accepted
        .closeFuture()
        .addListener(closed -> execute(context.executor(), () -> remove(address, accepted)));
    context.fireChannelRead(message);
  }

  private static void execute(EventExecutor executor, Runnable task) {
    if (executor.inEventLoop()) {
      task.run();
    } else {
      executor.execute(task);
    }
  }

  /** Returns a connection of the address itself, or of any other one if it has none. */
  private Optional<Channel> oldestWithoutRequest(InetAddress address) {
    Set<Channel> own = open.getOrDefault(address, Set.of());
    return own.isEmpty()
        ? open.values().stream().flatMap(Set::stream).filter(serving.negate()).findFirst()
        : own.stream().filter(serving.negate()).findFirst();
  }

  private void remove(InetAddress address, Channel channel) {
    Set<Channel> ofAddress = open.get(address);
    if (ofAddress != null && ofAddress.remove(channel)) {
      openCount--;
      if (ofAddress.isEmpty()) {
        open.remove(address);
      }
    }
  }

  /** Returns the address, or null if the connection has ended before it was accepted. */
  private static InetAddress addressOf(SocketAddress address) {
    return address instanceof InetSocketAddress inet ? inet.getAddress() : null;
  }
}
