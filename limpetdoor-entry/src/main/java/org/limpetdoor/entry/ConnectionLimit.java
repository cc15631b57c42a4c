package org.limpetdoor.entry;

import io.micronaut.context.annotation.Requires;
import io.micronaut.context.annotation.Value;
import io.micronaut.context.event.BeanCreatedEvent;
import io.micronaut.context.event.BeanCreatedEventListener;
import io.micronaut.http.server.netty.NettyServerCustomizer;
import io.micronaut.http.server.netty.NettyServerCustomizer.ChannelRole;
import io.micronaut.http.server.netty.NettyServerCustomizer.Registry;
import io.netty.channel.Channel;
import jakarta.inject.Singleton;
import java.util.concurrent.atomic.AtomicInteger;

/** Closes new caller connections while the maximum number of connections is open. */
@Singleton
@Requires(property = ConnectionLimit.PROPERTY)
final class ConnectionLimit implements BeanCreatedEventListener<Registry> {
  static final String PROPERTY = "limpetdoor.entry.max-connections";

  private final int maxConnections;
  private final AtomicInteger openConnections = new AtomicInteger();

  ConnectionLimit(@Value("${" + PROPERTY + "}") int maxConnections) {
    this.maxConnections = maxConnections;
  }

  @Override
  public Registry onCreated(BeanCreatedEvent<Registry> event) {
    event.getBean().register(new ConnectionCounter());
    return event.getBean();
  }

  private void onConnect(Channel channel) {
    channel.closeFuture().addListener(closed -> openConnections.decrementAndGet());
    if (openConnections.incrementAndGet() > maxConnections) {
      channel.close();
    }
  }

  private final class ConnectionCounter implements NettyServerCustomizer {
    @Override
    public NettyServerCustomizer specializeForChannel(Channel channel, ChannelRole role) {
      if (role == ChannelRole.CONNECTION) {
        onConnect(channel);
      }
      return this;
    }
  }
}
