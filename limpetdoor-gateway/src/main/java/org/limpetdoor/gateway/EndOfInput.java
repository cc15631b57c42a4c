package org.limpetdoor.gateway;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records that the peer has ended its output with a FIN. A response without a length ends with its
 * connection, and the decoder ends it in the same way when the connection is lost: a reset that is
 * found by a write is reported by no read error.
 *
 * <p>Must precede the decoder, and needs {@link io.netty.channel.ChannelOption#ALLOW_HALF_CLOSURE}.
 */
final class EndOfInput extends ChannelInboundHandlerAdapter {
  private boolean reached;

  boolean isReached() {
    return reached;
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      reached = true;
    }
    context.fireUserEventTriggered(event);
  }
}
