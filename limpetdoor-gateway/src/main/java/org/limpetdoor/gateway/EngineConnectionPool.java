package org.limpetdoor.gateway;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.effect.ForwardCall;
import org.limpetdoor.core.gateway.EngineNotice;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.runtime.SocketReads;

/**
 * Pool of idle connections to engines, by engine rather than by address, because an address may be
 * reassigned to another engine. The connection that became idle last is used first, so that the
 * others can time out.
 */
final class EngineConnectionPool implements EngineChannel.Owner {
  /**
   * Round trips take at most tens of milliseconds; a longer time means that the engine is
   * unreachable.
   */
  private static final int CONNECT_TIMEOUT_MS = 400;

  /**
   * Maximum idle time of a connection for a call that may not be repeated. If the engine closed the
   * connection while the request was being sent, the outcome of the call would be unknown.
   */
  private static final long AT_MOST_ONCE_IDLE_MS = 900;

  private static final long CLEANUP_INTERVAL_MS = 1_000;

  private final EventLoop loop;
  private final ReadTimes readTimes;
  private final CallProtocol protocol;
  private final EngineNotices notices;
  private final Map<BackendId, Deque<EngineChannel>> idle = new HashMap<>();

  EngineConnectionPool(
      EventLoop loop, ReadTimes readTimes, CallProtocol protocol, EngineNotices notices) {
    this.loop = loop;
    this.readTimes = readTimes;
    this.protocol = protocol;
    this.notices = notices;
    loop.scheduleWithFixedDelay(
        this::closeIdle, CLEANUP_INTERVAL_MS, CLEANUP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  /** Sends the request of an attempt on an idle or a new connection. */
  void send(EngineAttempt attempt) {
    if (endIfOutdated(attempt)) {
      return;
    }
    EngineChannel pooled = pollIdle(attempt);
    if (pooled != null) {
      pooled.send(attempt, protocol);
      return;
    }
    EndOfInput endOfInput = new EndOfInput();
    EngineChannel opened = new EngineChannel(attempt.forward().engine(), this, endOfInput);
    ChannelFuture connecting = connect(attempt.forward().address(), endOfInput, opened);
    connecting.addListener(
        done -> {
          if (!attempt.hasEnded() && !done.isSuccess()) {
            attempt.connectFailed();
          }
          readTimes.runWithRecentInput(
              loop, () -> sendOrClose(attempt, opened, connecting.channel()));
        });
  }

  private void sendOrClose(EngineAttempt attempt, EngineChannel opened, Channel channel) {
    if (attempt.hasEnded() || endIfOutdated(attempt)) {
      channel.close();
      return;
    }
    opened.send(attempt, protocol);
  }

  @Override
  public void channelIdle(EngineChannel channel) {
    idle.computeIfAbsent(channel.engine(), engine -> new ArrayDeque<>()).addLast(channel);
  }

  @Override
  public void headReceived(EngineAttempt attempt, HttpResponse head, boolean skipped) {
    ForwardCall forward = attempt.forward();
    EngineNotice notice = protocol.engineNotice(head);
    // A late copy of an earlier refusal would close the engine once more.
    EngineNotice applicable = skipped ? notice.withoutRetryAfter() : notice;
    notices.received(forward.engine(), forward.engineStartedAtMs(), applicable);
  }

  @Override
  public void channelClosed(EngineChannel channel) {
    Deque<EngineChannel> channels = idle.get(channel.engine());
    if (channels != null) {
      channels.remove(channel);
    }
  }

  /**
   * Ends an attempt whose caller has left, or whose engine has closed since the decision to send
   * it, and returns whether it has ended.
   */
  private boolean endIfOutdated(EngineAttempt attempt) {
    if (attempt.endIfDeadlinePassed()) {
      return true;
    }
    ForwardCall forward = attempt.forward();
    boolean closed = notices.isClosed(forward.engine(), forward.engineStartedAtMs());
    if (closed) {
      attempt.engineClosed();
    }
    return closed;
  }

  /**
   * Takes the newest usable connection on which the response of the call can be distinguished from
   * copies of earlier ones, or returns null.
   */
  private EngineChannel pollIdle(EngineAttempt attempt) {
    Deque<EngineChannel> channels = idle.get(attempt.forward().engine());
    if (channels == null || channels.isEmpty()) {
      return null;
    }
    long maxIdleMs = attempt.forward().atMostOnce() ? AT_MOST_ONCE_IDLE_MS : Long.MAX_VALUE;
    Iterator<EngineChannel> newestFirst = channels.descendingIterator();
    while (newestFirst.hasNext()) {
      EngineChannel channel = newestFirst.next();
      if (!channel.isUsable(maxIdleMs)) {
        return null;
      }
      if (channel.exchangeFor(attempt.call()).isDistinguishable()) {
        newestFirst.remove();
        return channel;
      }
    }
    return null;
  }

  private void closeIdle() {
    for (Deque<EngineChannel> channels : idle.values()) {
      while (!channels.isEmpty() && channels.peekFirst().idleTimedOut()) {
        channels.pollFirst().close();
      }
    }
    idle.values().removeIf(Deque::isEmpty);
  }

  private ChannelFuture connect(String address, EndOfInput endOfInput, EngineChannel handler) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .option(ChannelOption.RCVBUF_ALLOCATOR, SocketReads.bounded())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(endOfInput)
                    .addLast(new HttpRequestEncoder())
                    .addLast(new EngineResponseDecoder(handler))
                    .addLast(handler);
              }
            })
        .connect(ControlHttpClient.socketAddress(address));
  }
}
