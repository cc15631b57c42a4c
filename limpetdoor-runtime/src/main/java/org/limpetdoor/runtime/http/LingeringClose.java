package org.limpetdoor.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection after the response to a request that was refused while it was received. Input
 * is skipped until the caller closes too, for a second at most: closing a socket with unread input
 * resets the connection, and the caller may lose the response.
 */
public final class LingeringClose implements ChannelFutureListener {
  /** Listener for the write of the response. */
  public static final LingeringClose INSTANCE = new LingeringClose(1_000);

  private final long maxLingerMs;

  LingeringClose(long maxLingerMs) {
    this.maxLingerMs = maxLingerMs;
  }

  @Override
  public void operationComplete(ChannelFuture written) {
    Channel channel = written.channel();
    if (!written.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
      channel.close();
      return;
    }
    duplex.shutdownOutput();
    channel.eventLoop().schedule(() -> channel.close(), maxLingerMs, TimeUnit.MILLISECONDS);
  }
}
