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
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the requests of a connection one at a time: the next one only when the socket has taken
 * the whole response to the one before. What a connection has sent is decoded in turns with others.
 * Confined to the event loop.
 *
 * <p>It answers callers that send requests ahead and read no response, and callers that send many
 * small chunks or header lines: such a connection holds one response and one read of undecoded
 * bytes, and is not read from.
 */
public final class PacedHttpCodec
    extends CombinedChannelDuplexHandler<HttpRequestDecoder, HttpResponseEncoder>
    implements DecodeTurns.Connection {
  /** Longest part that is decoded in one step, so that a step has a few hundred lines at most. */
  private static final int STEP_BYTES = 1 << 10;

  private final HeadMemory memory;
  private final DecodeTurns turns;
  private ChannelHandlerContext context;
  private final Decoder decoder;
  private HttpMethod method;
  private int steps;
  private boolean awaitingTurn;
  private boolean awaitingResponse;
  private boolean closing;

  /**
   * Creates the codec of one connection.
   *
   * @param config limits on the length of a head
   * @param memory memory of the heads of the connection
   * @param turns connections of the same event loop
   */
  public PacedHttpCodec(HttpDecoderConfig config, HeadMemory memory, DecodeTurns turns) {
    this.memory = memory;
    this.turns = turns;
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
  public void channelRead(ChannelHandlerContext in, Object message) throws Exception {
    super.channelRead(in, message);
    pauseOrResumeReading();
  }

  /** Ignores requests of other handlers to read while bytes are held; reading resumes by itself. */
  @Override
  public void read(ChannelHandlerContext out) throws Exception {
    if (!decoder.isPaused()) {
      super.read(out);
    }
  }

  /** Ends the turn of a connection that has been read from. */
  @Override
  public void channelReadComplete(ChannelHandlerContext in) throws Exception {
    super.channelReadComplete(in);
    boolean used = turns.endsTurn(steps);
    steps = 0;
    if (used && decoder.hasBytes() && !awaitingResponse) {
      awaitTurn();
    }
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
    if (message instanceof HttpResponse response && !isInterim(message)) {
      closing = !HttpUtil.isKeepAlive(response);
    }
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

  /** Ends the request that the response belongs to, also one of which the rest is skipped. */
  private void responseSent() {
    if (!awaitingResponse && !closing) {
      return;
    }
    awaitingResponse = false;
    memory.close();
    if (decoder.hasBytes()) {
      awaitTurn();
    } else {
      pauseOrResumeReading();
    }
  }

  private void awaitTurn() {
    if (!awaitingTurn) {
      awaitingTurn = true;
      turns.add(this);
    }
  }

  @Override
  public int decodeTurn() {
    awaitingTurn = false;
    if (!context.channel().isActive()) {
      return 0;
    }
    int taken = 0;
    try {
      channelRead(context, Unpooled.EMPTY_BUFFER);
      taken = steps;
      channelReadComplete(context);
    } catch (Exception e) {
      context.fireExceptionCaught(e);
    }
    return taken;
  }

  /** Reading goes on while nothing is held, so that the end of the connection is noticed. */
  private void pauseOrResumeReading() {
    context.channel().config().setAutoRead(!decoder.isPaused());
    if (!memory.tryHold(decoder.heldBytes())) {
      context.close();
    }
  }

  private final class Decoder extends HttpRequestDecoder {
    Decoder(HttpDecoderConfig config) {
      super(config);
    }

    boolean hasBytes() {
      return actualReadableBytes() > 0;
    }

    /** Returns the size of the buffer with the bytes that are not decoded. */
    int heldBytes() {
      return hasBytes() ? internalBuffer().capacity() : 0;
    }

    /** Returns whether bytes are held that may not be decoded yet. */
    boolean isPaused() {
      return hasBytes() && !mayDecode();
    }

    private boolean mayDecode() {
      return !awaitingResponse && !awaitingTurn && !turns.endsTurn(steps);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext in) throws Exception {
      if (isPaused()) {
        // Netty's decoder reads on if it has passed on no message.
        in.fireChannelReadComplete();
      } else {
        super.channelReadComplete(in);
      }
    }

    @Override
    protected void decode(ChannelHandlerContext in, ByteBuf bytes, List<Object> messages)
        throws Exception {
      if (closing) {
        bytes.skipBytes(bytes.readableBytes());
      } else if (mayDecode()) {
        int lines = memory.lines();
        decodeStep(in, bytes, messages);
        steps += 1 + Math.max(0, memory.lines() - lines);
        for (Object message : messages) {
          decoded(message);
        }
      }
    }

    /** Decodes a part of the bytes, or all if a line is longer than the part. */
    private void decodeStep(ChannelHandlerContext in, ByteBuf bytes, List<Object> messages)
        throws Exception {
      int readableBytes = bytes.readableBytes();
      int end = bytes.writerIndex();
      bytes.writerIndex(Math.min(end, bytes.readerIndex() + STEP_BYTES));
      try {
        super.decode(in, bytes, messages);
      } finally {
        bytes.writerIndex(end);
      }
      boolean progress = !messages.isEmpty() || bytes.readableBytes() < readableBytes;
      if (!progress && readableBytes > STEP_BYTES) {
        super.decode(in, bytes, messages);
      }
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
