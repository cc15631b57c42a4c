package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;

/**
 * Decodes the responses of an engine. It also finds bytes that belong to no response, even if they
 * are too few for the decoder to emit a message: the response to a later request would otherwise be
 * decoded as their continuation.
 */
final class EngineResponseDecoder extends ResponseDecoder {
  private final EngineChannel engineChannel;

  EngineResponseDecoder(EngineChannel engineChannel) {
    this.engineChannel = engineChannel;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (engineChannel.isIdle()) {
      ReferenceCountUtil.release(message);
      context.close();
      return;
    }
    super.channelRead(context, message);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
      throws Exception {
    super.decode(context, in, out);
    boolean responseEnded = !out.isEmpty() && out.get(out.size() - 1) instanceof LastHttpContent;
    engineChannel.setBytesAfterResponse(responseEnded && in.isReadable());
  }
}
