package org.limpetdoor.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Queue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.ConnectionCloseReason;
import org.limpetdoor.core.effect.ApplyCallerLimits;
import org.limpetdoor.core.event.CallerConnectionClosed;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.gateway.Reply;
import org.limpetdoor.core.gateway.RouteTable.CallerLimits;
import org.limpetdoor.runtime.MonotonicClock;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.OverloadLog;

/** Tests when the connection of a caller counts as idle. */
class CallerChannelTest {
  private final DefaultEventLoop loop = new DefaultEventLoop();
  private final MonotonicClock clock = MonotonicClock.startingNow();
  private final Deque<Event> events = new ArrayDeque<>();
  private final Queue<ChannelPromise> writes = new ArrayDeque<>();

  @AfterEach
  void close() {
    loop.shutdownGracefully();
  }

  /** Keeps all writes pending, like a socket whose peer does not read. */
  private final class PendingWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      writes.add(promise);
    }
  }

  private GatewayTraffic traffic() {
    return new GatewayTraffic(
        loop,
        new TestCallProtocol(),
        null,
        null,
        null,
        clock,
        new ReadTimes(clock),
        BodyMemories.ofHeap(),
        new OverloadLog(new SimpleMeterRegistry(), line -> {}, System::nanoTime),
        event -> events.add(event.apply(0L)));
  }

  /** Guards against a caller that reads nothing and holds its response for a minute. */
  @Test
  void closesAConnectionWhoseCallerTakesNoByteForTheIdleTimeout() {
    GatewayTraffic traffic = traffic();
    traffic.applyCallerLimits(new ApplyCallerLimits(new CallerLimits(16_384, 1_000, 5_000, 0)));
    CallerChannel caller = new CallerChannel(traffic);
    EmbeddedChannel channel = new EmbeddedChannel(new PendingWrites(), caller);
    channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"));
    caller.reply(Reply.ENGINES_FULL, 0);

    caller.closeIfStalled();

    assertThat(channel.isOpen()).isFalse();
    CallerConnectionClosed closed = (CallerConnectionClosed) events.getLast();
    assertThat(closed.reason()).isEqualTo(ConnectionCloseReason.SLOW_READER);
  }

  /** Guards against closing a connection as idle before its response has been sent completely. */
  @Test
  void isNotIdleUntilTheResponseHasBeenSent() {
    GatewayTraffic traffic = traffic();
    CallerChannel caller = new CallerChannel(traffic);
    EmbeddedChannel channel = new EmbeddedChannel(new PendingWrites(), caller);
    channel.writeInbound(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/a"));

    caller.reply(Reply.ENGINES_FULL, 0);
    assertThat(caller.isIdle()).isFalse();
    writes.remove().setSuccess();

    assertThat(caller.isIdle()).isTrue();
  }
}
