package org.limpetdoor.standin.effect;

import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.netty.channel.Channel;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.util.concurrent.GlobalEventExecutor;
import jakarta.inject.Singleton;

/** Tracks the open connections of a server, so that faults can close them. */
@Singleton
public final class Connections
    implements BeanCreatedEventListener<NettyServerCustomizer.Registry>, NettyServerCustomizer {
  private final ChannelGroup openChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private volatile boolean accepting = true;

  @Override
  public NettyServerCustomizer.Registry onCreated(
      BeanCreatedEvent<NettyServerCustomizer.Registry> event) {
    event.getBean().register(this);
    return event.getBean();
  }

  @Override
  public NettyServerCustomizer specializeForChannel(Channel channel, ChannelRole role) {
    if (role != ChannelRole.CONNECTION) {
      return this;
    }
    openChannels.add(channel);
    if (!accepting) {
      // The pipeline is still being built here, so the channel is closed in a later task.
      channel.eventLoop().execute(channel::close);
    }
    return this;
  }

  void closeAll() {
    accepting = false;
    openChannels.close();
  }

  void accept() {
    accepting = true;
  }
}
