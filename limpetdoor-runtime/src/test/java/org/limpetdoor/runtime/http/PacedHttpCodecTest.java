package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.limits.DecodeBudget;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.HeadMemory.NoHeadMemoryException;

/** Tests how far the requests of a connection are decoded, and what their heads may take. */
class PacedHttpCodecTest {
  private static final int HEAD_BYTES = 16_384;
  private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

  private final BodyMemory memory = BodyMemory.ofBytes(1_000_000);
  private final List<OverloadReason> overloads = new ArrayList<>();
  private final Queue<ChannelPromise> writes = new ArrayDeque<>();
  private final EmbeddedChannel channel = open();
  private int reads;

  /** Keeps all writes pending, like a socket whose peer does not read. */
  private final class PendingWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void read(ChannelHandlerContext context) {
      reads++;
      context.read();
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      writes.add(promise);
    }
  }

  private EmbeddedChannel open() {
    return open(memory);
  }

  private EmbeddedChannel open(BodyMemory memory) {
    HttpDecoderConfig config =
        new HttpDecoderConfig().setMaxInitialLineLength(HEAD_BYTES).setMaxHeaderSize(HEAD_BYTES);
    EmbeddedChannel opened = new EmbeddedChannel(new PendingWrites());
    DecodeTurns turns = new DecodeTurns(opened.eventLoop(), DecodeBudget.DEFAULT);
    HeadMemory heads = new HeadMemory(memory, overloads::add);
    opened.pipeline().addLast(new PacedHttpCodec(config, heads, turns));
    return opened;
  }

  private void send(String text) {
    send(channel, text);
  }

  /** Receives a text in one read and runs all turns that its decoding takes. */
  private static void send(EmbeddedChannel receiver, String text) {
    receiver.writeInbound(bytes(text));
    while (receiver.hasPendingTasks()) {
      receiver.runPendingTasks();
    }
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private HttpRequest nextRequest() {
    Object message = channel.readInbound();
    while (message instanceof LastHttpContent && !(message instanceof HttpRequest)) {
      message = channel.readInbound();
    }
    return (HttpRequest) message;
  }

  private void respond() {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND);
    channel.writeAndFlush(response);
  }

  private void respondAndClose() {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    channel.writeAndFlush(response);
  }

  /** Guards against a response in memory for each request that a caller sends ahead. */
  @Test
  void decodesNoFurtherRequestUntilTheSocketHasTakenTheResponse() {
    send(REQUEST.repeat(3));
    assertThat(nextRequest()).isNotNull();
    assertThat(nextRequest()).isNull();
    assertThat(channel.config().isAutoRead()).isFalse();
    respond();
    assertThat(nextRequest()).isNull();

    writes.forEach(ChannelPromise::setSuccess);
    channel.runPendingTasks();

    assertThat(nextRequest()).isNotNull();
    assertThat(nextRequest()).isNull();
  }

  /** Guards against a connection that is not read from any more after its responses were taken. */
  @Test
  void servesAHundredRequestsSentAhead() {
    send(REQUEST.repeat(100));
    int served = 0;
    while (nextRequest() != null) {
      served++;
      respond();
      writes.forEach(ChannelPromise::trySuccess);
      writes.clear();
      channel.runPendingTasks();
    }
    assertThat(served).isEqualTo(100);
    assertThat(channel.config().isAutoRead()).isTrue();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  /** Guards against refusing a head that is as long as the configuration allows. */
  @Test
  void takesAHeadOf16KiloBytesInLinesOf16Bytes() {
    send("GET /a HTTP/1.1\r\n" + "abcdefgh: ijkl\r\n".repeat(1_020) + "\r\n");
    assertThat(nextRequest().decoderResult().isSuccess()).isTrue();
    assertThat(overloads).isEmpty();
  }

  /** Guards against heads that take many times their length as objects. */
  @Test
  void refusesAHeadOfTooManyLines() {
    EmbeddedChannel roomy = open(BodyMemory.ofBytes(4_000_000));
    send(roomy, "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(HeadMemory.MAX_LINES + 1) + "\r\n");
    HttpRequest request = roomy.readInbound();
    assertThat(request.decoderResult().cause()).isInstanceOf(TooLongHttpHeaderException.class);
    assertThat(overloads).containsExactly(OverloadReason.HEADER_LINES);
  }

  /** Guards against heads of many connections that together fill the memory. */
  @Test
  void refusesAHeadWithoutMemoryAndReleasesItWithTheConnection() {
    EmbeddedChannel other = open();
    send(other, "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(1_000));
    EmbeddedChannel third = open();
    send(third, "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(1_000));
    send("GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(1_000) + "\r\n");
    assertThat(nextRequest().decoderResult().cause()).isInstanceOf(NoHeadMemoryException.class);

    other.close();
    third.close();
    channel.close();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  /**
   * Guards against refused heads that stay in the memory of all requests while their connections
   * wait for the end of the input: others would be refused for want of memory meanwhile.
   */
  @Test
  void releasesARefusedHeadWhenItsResponseHasBeenSent() {
    EmbeddedChannel other = open();
    send(other, "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(1_500));
    long othersBytes = memory.usedBytes();
    send("GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(2_000));
    assertThat(nextRequest().decoderResult().cause()).isInstanceOf(NoHeadMemoryException.class);
    assertThat(memory.usedBytes()).isGreaterThan(othersBytes);

    respondAndClose();
    writes.forEach(ChannelPromise::setSuccess);
    channel.runPendingTasks();

    assertThat(channel.isOpen()).isTrue();
    assertThat(memory.usedBytes()).isEqualTo(othersBytes);
  }

  /**
   * Guards against a thread that decodes what one connection sends without a poll of the others: a
   * read of 6 kB in chunks of one byte is a thousand messages.
   */
  @Test
  void decodesSmallChunksInTurns() {
    send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    assertThat(nextRequest()).isNotNull();
    channel.writeOneInbound(bytes("1\r\nx\r\n".repeat(1_000)));
    channel.pipeline().fireChannelReadComplete();
    assertThat(channel.inboundMessages().size()).isAtMost(DecodeBudget.DEFAULT.turnSteps());
    assertThat(channel.config().isAutoRead()).isFalse();

    while (channel.hasPendingTasks()) {
      int before = channel.inboundMessages().size();
      channel.runScheduledPendingTasks();
      assertThat(channel.inboundMessages().size() - before)
          .isAtMost(DecodeBudget.DEFAULT.turnSteps());
    }
    assertThat(channel.inboundMessages()).hasSize(1_000);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  /** Guards against header lines without end in one step of the decoder. */
  @Test
  void decodesShortHeaderLinesInTurns() {
    channel.writeOneInbound(bytes("GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(1_500)));
    channel.pipeline().fireChannelReadComplete();
    long oneTurnBytes = memory.usedBytes();
    assertThat(channel.config().isAutoRead()).isFalse();
    while (channel.hasPendingTasks()) {
      channel.runPendingTasks();
    }
    assertThat(memory.usedBytes()).isGreaterThan(2 * oneTurnBytes);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  /** Guards against decoding for a connection whose response says that it is closed. */
  @Test
  void decodesNothingAfterAResponseThatClosesTheConnection() {
    send("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    assertThat(nextRequest()).isNotNull();
    respondAndClose();
    long headBytes = memory.usedBytes();

    send("1\r\nx\r\n".repeat(1_000));
    assertThat(channel.inboundMessages()).isEmpty();
    assertThat(memory.usedBytes()).isEqualTo(headBytes);
  }

  /** Guards against a turn that never comes for a line longer than what one step decodes. */
  @Test
  void decodesALineLongerThanAStep() {
    send("GET /a HTTP/1.1\r\nA: " + "a".repeat(10_000) + "\r\n\r\n");
    assertThat(nextRequest().headers().get("A")).hasLength(10_000);
  }

  /** Guards against a handler that has a connection read on while its bytes wait for a turn. */
  @Test
  void readsNothingWhileBytesAreHeld() {
    send(REQUEST);
    assertThat(nextRequest()).isNotNull();
    reads = 0;
    channel.writeOneInbound(bytes(REQUEST));
    channel.read();
    assertThat(reads).isEqualTo(0);
    respond();
    writes.forEach(ChannelPromise::setSuccess);
    channel.runPendingTasks();
    assertThat(nextRequest()).isNotNull();
    assertThat(reads).isGreaterThan(0);
  }
}
