package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.RequestRejection;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.HeadMemory.NoHeadMemoryException;

/** Tests which requests are put together and which are refused. */
class RequestReceiverTest {
  private static final int MAX_BODY_BYTES = 3_000;

  private final BodyMemory memory = BodyMemory.ofBytes(10_000);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final List<String> bodies = new ArrayList<>();
  private final List<RequestRejection> rejections = new ArrayList<>();
  private final RequestReceiver receiver =
      new RequestReceiver(memory, () -> MAX_BODY_BYTES, new Recorder());

  private final class Recorder implements RequestReceiver.Sink {
    @Override
    public void received(HttpRequest head, byte[] body) {
      bodies.add(new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void refused(RequestRejection reason) {
      rejections.add(reason);
    }
  }

  private static HttpRequest head() {
    return new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
  }

  private static HttpContent content(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private void read(Object... messages) {
    for (Object message : messages) {
      receiver.read(channel, message);
    }
  }

  @Test
  void putsABodyOfManyChunksTogether() {
    read(head(), content("a"), content("b"));
    assertThat(receiver.isReceiving()).isTrue();
    read(LastHttpContent.EMPTY_LAST_CONTENT);
    assertThat(receiver.isReceiving()).isFalse();
    assertThat(bodies).containsExactly("ab");
    assertThat(memory.usedBytes()).isEqualTo(2);
    receiver.close();
    assertThat(memory.usedBytes()).isEqualTo(0);
  }

  /** Guards against a body that is received although it can only be refused. */
  @Test
  void refusesALongBodyAtItsHead() {
    HttpRequest head = head();
    head.headers().set(HttpHeaderNames.CONTENT_LENGTH, MAX_BODY_BYTES + 1);
    head.headers().set(HttpHeaderNames.EXPECT, HttpHeaderValues.CONTINUE);
    read(head, content("x"), LastHttpContent.EMPTY_LAST_CONTENT);
    assertThat(rejections).containsExactly(RequestRejection.BODY_TOO_LONG);
    assertThat(bodies).isEmpty();
    HttpResponse interim = channel.readOutbound();
    assertThat(interim).isNull();
  }

  @Test
  void refusesALongBodyWithoutALength() {
    read(head(), content("x".repeat(MAX_BODY_BYTES)), content("x"));
    assertThat(rejections).containsExactly(RequestRejection.BODY_TOO_LONG);
  }

  /** Guards against bodies of many callers that together fill the heap. */
  @Test
  void refusesABodyWithoutMemoryAndIgnoresItsRest() {
    memory.reserve().grow(9_500);
    read(head(), content("x".repeat(1_000)), content("x"), LastHttpContent.EMPTY_LAST_CONTENT);
    assertThat(rejections).containsExactly(RequestRejection.NO_MEMORY);
    assertThat(bodies).isEmpty();
  }

  @Test
  void tellsWhatIsWrongWithAHeadOrATrailer() {
    HttpRequest malformed = head();
    malformed.setDecoderResult(DecoderResult.failure(new IllegalArgumentException("bad")));
    HttpRequest tooLong = head();
    tooLong.setDecoderResult(DecoderResult.failure(new TooLongHttpHeaderException("long")));
    LastHttpContent trailer = new DefaultLastHttpContent();
    trailer.setDecoderResult(DecoderResult.failure(new NoHeadMemoryException()));
    read(malformed, tooLong, head(), trailer);
    assertThat(rejections)
        .containsExactly(
            RequestRejection.MALFORMED, RequestRejection.HEAD_TOO_LONG, RequestRejection.NO_MEMORY)
        .inOrder();
  }
}
