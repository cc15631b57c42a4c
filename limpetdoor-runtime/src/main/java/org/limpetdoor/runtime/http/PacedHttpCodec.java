package org.limpetdoor.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the requests of a connection one at a time: the next one only when the socket has taken
 * the whole response to the one before. Confined to the traffic thread.
 *
 * <p>It answers callers that send requests ahead and read no response: such a connection holds one
 * response and one read of undecoded bytes, and is not read from.
 */
public final class PacedHttpCodec
    extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder> {
  private final HeadMemory memory;
  private ChannelHandlerContext context;
  private final Decoder decoder;
  private HttpMethod method;
  private boolean awaitingResponse;

  /**
   * Creates the codec of one connection.
   *
   * @param config limits on the length of a head
   * @param memory memory of the heads of the connection
   */
  public PacedHttpCodec(HttpDecoderConfig config, HeadMemory memory) {
    this.memory = memory;
    config.setHeadersFactory(memory).setTrailersFactory(memory);
    decoder = new Decoder(config);
    init(decoder, new Encoder());
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) throws Exception {
    context = added;
    super.handlerAdded(added);
  }

  @Override
  public void channelInactive(ChannelHandlerContext inactive) throws Exception {
    super.channelInactive(inactive);
    memory.close();
  }

  @Override
  public void write(ChannelHandlerContext to, Object message, ChannelPromise promise)
      throws Exception {
    ChannelPromise written = promise;
    if (message instanceof LastHttpContent && !isInterim(message)) {
      written = promise.unvoid();
      written.addListener(
          sent -> {
            if (sent.isSuccess()) {
              responseSent();
            }
          });
    }
    super.write(to, message, written);
  }

  private static boolean isInterim(Object message) {
    return message instanceof HttpResponse response
        && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  private void responseSent() {
    if (!awaitingResponse) {
      return;
    }
    awaitingResponse = false;
    memory.close();
    if (decoder.hasBytes()) {
      // The response may have been written while the decoder was passing on the request.
      context.executor().execute(this::decodeHeldBytes);
    } else {
      context.channel().config().setAutoRead(true);
    }
  }

  private void decodeHeldBytes() {
    try {
      channelRead(context, Unpooled.EMPTY_BUFFER);
      channelReadComplete(context);
    } catch (Exception e) {
      context.fireExceptionCaught(e);
    }
  }

  private final class Decoder extends HttpRequestDecoder {
    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean hasBytes() {
      return actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext in, ByteBuf bytes, List<Object> messages)
        throws Exception {
      if (!awaitingResponse) {
        super.decode(in, bytes, messages);
        messages.forEach(this::decoded);
      }
      // Reading goes on while nothing is held, so that the end of the connection is noticed.
      boolean readsOn = !awaitingResponse || !bytes.isReadable();
      in.channel().config().setAutoRead(readsOn);
      memory.hold(bytes.readableBytes());
    }

    private void decoded(Object message) {
      if (message instanceof HttpRequest request) {
        method = request.method();
      }
      awaitingResponse = awaitingResponse || message instanceof LastHttpContent;
    }
  }

  /** Encodes responses; the response to HEAD has no body, as in Netty's codec for servers. */
  private final class Encoder extends HttpResponseEncoder {
    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
      return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(response);
    }
  }
}
