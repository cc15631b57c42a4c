package org.limpetdoor.entry;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.netty.channel.ChannelPipelineCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer.ChannelRole;
import io.micronaut.http.server.netty.NettyServerCustomizer.Registry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.util.concurrent.EventExecutor;
import jakarta.inject.Singleton;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetdoor.core.limits.DecodeBudget;
import org.limpetdoor.runtime.AcceptLimit;
import org.limpetdoor.runtime.http.CallerBuffers;
import org.limpetdoor.runtime.http.DecodeTurns;
import org.limpetdoor.runtime.http.HeadMemory;
import org.limpetdoor.runtime.http.PacedHttpCodec;
import org.limpetdoor.runtime.http.PacedWrites;

/**
 * Puts the bounds on callers into the pipelines of the HTTP server: a limit on the accepted
 * connections, a codec that decodes in turns, and a handler that holds bodies in bounded memory.
 */
@Singleton
@Requires(bean = ListenerBounds.class)
final class ConnectionBounds implements BeanCreatedEventListener<Registry> {
  private final ListenerBounds bounds;
  private final ConcurrentMap<EventExecutor, DecodeTurns> turns = new ConcurrentHashMap<>();

  ConnectionBounds(ListenerBounds bounds) {
    this.bounds = bounds;
  }

  @Override
  public Registry onCreated(BeanCreatedEvent<Registry> event) {
    event.getBean().register(new ServerCustomizer());
    return event.getBean();
  }

  private void boundListener(Channel listener) {
    listener.config().setOption(ChannelOption.SO_RCVBUF, CallerBuffers.RECEIVE_BUFFER_BYTES);
    listener
        .pipeline()
        .addFirst(
            new AcceptLimit(
                bounds.connections(), BoundedConnection::servesCall, bounds.overload()));
  }

  private void boundConnection(Channel connection) {
    CallerBuffers.configure(connection.config());
    HttpDecoderConfig config =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(bounds.maxHeaderBytes())
            .setMaxHeaderSize(bounds.maxHeaderBytes());
    HeadMemory heads = new HeadMemory(bounds.memories().requests(), bounds.overload());
    DecodeTurns turnsOfLoop =
        turns.computeIfAbsent(
            connection.eventLoop(), loop -> new DecodeTurns(loop, DecodeBudget.DEFAULT));
    String codec = ChannelPipelineCustomizer.HANDLER_HTTP_SERVER_CODEC;
    connection.pipeline().replace(codec, codec, new PacedHttpCodec(config, heads, turnsOfLoop));
    connection.pipeline().addBefore(codec, null, BoundedConnection.stallTimeout());
    connection.pipeline().addBefore(codec, null, new PacedWrites());
    connection.pipeline().addAfter(codec, null, new BoundedConnection(bounds, heads));
  }

  private final class ServerCustomizer implements NettyServerCustomizer {
    @Override
    public NettyServerCustomizer specializeForChannel(Channel channel, ChannelRole role) {
      if (role == ChannelRole.LISTENER) {
        boundListener(channel);
      }
      return role == ChannelRole.CONNECTION ? new ConnectionCustomizer(channel) : this;
    }
  }

  private final class ConnectionCustomizer implements NettyServerCustomizer {
    private final Channel connection;

    ConnectionCustomizer(Channel connection) {
      this.connection = connection;
    }

    @Override
    public void onStreamPipelineBuilt() {
      boundConnection(connection);
    }
  }
}
