package org.limpetdoor.entry.traffic;

import io.micronaut.core.annotation.AnnotationMetadataResolver;
import io.micronaut.core.convert.ConversionService;
import io.micronaut.core.io.ResourceResolver;
import io.micronaut.http.bind.DefaultRequestBinderRegistry;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.LoadBalancer;
import io.micronaut.http.client.filter.DefaultHttpClientFilterResolver;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.client.netty.NettyClientCustomizer;
import io.micronaut.http.client.netty.ssl.NettyClientSslBuilder;
import io.micronaut.websocket.context.WebSocketBeanRegistry;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultithreadEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.limpetdoor.core.id.AttemptId;

/**
 * The connections to engines by the attempt that they serve. The HTTP client reads and drops the
 * rest of a response whose attempt has failed, however long it is, so that the connection has to be
 * closed here.
 */
final class EngineConnections {
  private final ConcurrentMap<String, EngineConnection> serving = new ConcurrentHashMap<>();

  /** Creates a client whose connections are known here. */
  DefaultHttpClient createClient(HttpClientConfiguration configuration) {
    // The constructor that takes a customizer has no defaults; those of another client are used.
    try (DefaultHttpClient defaults = new DefaultHttpClient((LoadBalancer) null, configuration)) {
      return new DefaultHttpClient(
          null,
          null,
          configuration,
          null,
          new DefaultHttpClientFilterResolver(null, AnnotationMetadataResolver.DEFAULT, List.of()),
          null,
          new DefaultThreadFactory(MultithreadEventLoopGroup.class),
          new NettyClientSslBuilder(new ResourceResolver()),
          defaults.getMediaTypeCodecRegistry(),
          defaults.getHandlerRegistry(),
          WebSocketBeanRegistry.EMPTY,
          new DefaultRequestBinderRegistry(ConversionService.SHARED),
          null,
          NioSocketChannel::new,
          NioDatagramChannel::new,
          new ConnectionCustomizer(),
          null,
          ConversionService.SHARED,
          null);
    }
  }

  /** Closes the connection that serves an attempt, unless its response has ended. */
  void close(AttemptId attempt) {
    EngineConnection connection = serving.get(attempt.toString());
    if (connection != null) {
      connection.closeIfServing(attempt.toString());
    }
  }

  void started(String attempt, EngineConnection connection) {
    serving.put(attempt, connection);
  }

  void ended(String attempt, EngineConnection connection) {
    serving.remove(attempt, connection);
  }

  private final class ConnectionCustomizer implements NettyClientCustomizer {
    @Override
    public NettyClientCustomizer specializeForChannel(Channel channel, ChannelRole role) {
      return role == ChannelRole.CONNECTION ? new PipelineCustomizer(channel) : this;
    }
  }

  /** Adds the handler of a connection next to its codec. */
  private final class PipelineCustomizer implements NettyClientCustomizer {
    private final Channel channel;

    PipelineCustomizer(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void onStreamPipelineBuilt() {
      ChannelHandlerContext codec = channel.pipeline().context(HttpClientCodec.class);
      channel
          .pipeline()
          .addAfter(codec.name(), null, new EngineConnection(channel, EngineConnections.this));
    }
  }
}
