package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests what a caller sees of a response that is sent while it is sending. */
class LingeringCloseTest {
  private static final int READ_TIMEOUT_MS = 30_000;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Channel server =
      new ServerBootstrap()
          .group(group)
          .channel(NioServerSocketChannel.class)
          .childHandler(
              new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                  channel.pipeline().addLast(new RefusingHandler());
                }
              })
          .bind(new InetSocketAddress("127.0.0.1", 0))
          .syncUninterruptibly()
          .channel();

  /** Responds to the first bytes and skips the others. */
  private static final class RefusingHandler extends ChannelInboundHandlerAdapter {
    private boolean refused;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ReferenceCountUtil.release(message);
      if (!refused) {
        refused = true;
        context
            .writeAndFlush(Unpooled.copiedBuffer("refused", StandardCharsets.ISO_8859_1))
            .addListener(new LingeringClose(READ_TIMEOUT_MS));
      }
    }
  }

  @AfterEach
  void stop() {
    server.close().syncUninterruptibly();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
  }

  /** Guards against a reset that makes the caller lose the response to a request it still sends. */
  @Test
  void aCallerMaySendOnAfterTheResponse() throws Exception {
    int port = ((InetSocketAddress) server.localAddress()).getPort();
    try (Socket caller = new Socket("127.0.0.1", port)) {
      caller.setSoTimeout(READ_TIMEOUT_MS);
      caller.getOutputStream().write(new byte[10_000]);
      byte[] response = caller.getInputStream().readNBytes("refused".length());
      assertThat(new String(response, StandardCharsets.ISO_8859_1)).isEqualTo("refused");
      for (int i = 0; i < 1_000; i++) {
        caller.getOutputStream().write(new byte[10_000]);
      }
      assertThat(caller.getInputStream().read()).isEqualTo(-1);
    }
  }
}
