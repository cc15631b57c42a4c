package org.limpetdoor.entry;

import static com.google.common.truth.Truth.assertThat;
import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.core.limits.ConnectionThreshold;
import org.limpetdoor.runtime.BodyMemory;
import org.limpetdoor.runtime.http.BodyMemories;
import org.limpetdoor.runtime.http.HeadMemory;

/** Tests what a connection of the entry passes on, refuses and holds. */
class BoundedConnectionTest {
  private final BodyMemories memories =
      new BodyMemories(BodyMemory.ofBytes(4_000), BodyMemory.ofBytes(4_000));
  private final List<OverloadReason> overloads = new ArrayList<>();
  private final Queue<ChannelPromise> writes = new ArrayDeque<>();
  private final List<FullHttpResponse> responses = new ArrayList<>();
  private final HeadMemory heads = new HeadMemory(memories.requests(), overloads::add);
  private final EmbeddedChannel channel =
      new EmbeddedChannel(
          new PendingWrites(),
          new BoundedConnection(
              new ListenerBounds(
                  new ConnectionThreshold(10), 16_384, 3_000, memories, overloads::add),
              heads));

  /** Keeps all writes pending, like a socket whose peer does not read. */
  private final class PendingWrites extends ChannelOutboundHandlerAdapter {
    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      responses.add((FullHttpResponse) message);
      writes.add(promise);
    }
  }

  private static HttpRequest chunkedHead() {
    HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/a");
    HttpUtil.setTransferEncodingChunked(head, true);
    return head;
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, UTF_8);
  }

  private void receiveRequest() {
    channel.writeInbound(
        chunkedHead(), new DefaultHttpContent(bytes("ab")), LastHttpContent.EMPTY_LAST_CONTENT);
  }

  private void respond(String text) {
    channel.writeOneOutbound(
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, bytes(text)));
  }

  /** Guards against chunks as single objects in the HTTP server. */
  @Test
  void passesOnACompleteRequestWithItsLength() {
    receiveRequest();
    FullHttpRequest request = channel.readInbound();
    assertThat(request.content().toString(UTF_8)).isEqualTo("ab");
    assertThat(HttpUtil.getContentLength(request)).isEqualTo(2);
    assertThat(HttpUtil.isTransferEncodingChunked(request)).isFalse();
    Object more = channel.readInbound();
    assertThat(more).isNull();
  }

  /** Guards against an open request whose connection is closed for a newer one. */
  @Test
  void servesACallUntilTheSocketHasTakenTheResponse() {
    receiveRequest();
    assertThat(BoundedConnection.servesCall(channel)).isTrue();
    assertThat(memories.requests().usedBytes()).isEqualTo(2);
    respond("done");
    assertThat(BoundedConnection.servesCall(channel)).isTrue();
    assertThat(memories.responses().usedBytes()).isEqualTo(4);

    writes.forEach(ChannelPromise::setSuccess);
    assertThat(BoundedConnection.servesCall(channel)).isFalse();
    assertThat(memories.requests().usedBytes()).isEqualTo(0);
    assertThat(memories.responses().usedBytes()).isEqualTo(0);
  }

  /** Guards against a refusal that does not say that the request has not run. */
  @Test
  void refusesARequestWithoutMemory() throws Exception {
    memories.requests().reserve().grow(3_500);
    channel.writeInbound(chunkedHead(), new DefaultHttpContent(bytes("x".repeat(1_000))));
    FullHttpResponse refusal = responses.get(0);
    assertThat(refusal.status()).isEqualTo(HttpResponseStatus.SERVICE_UNAVAILABLE);
    assertThat(refusal.headers().get("Retry-After")).isEqualTo("1");
    assertThat(refusal.headers().get("Connection")).isEqualTo("close");
    assertThat(
            new ObjectMapper().readTree(refusal.content().toString(UTF_8)).get("outcome").asText())
        .isEqualTo("not_run");
    writes.forEach(ChannelPromise::setSuccess);
    assertThat(channel.isActive()).isFalse();
    assertThat(memories.requests().usedBytes()).isEqualTo(3_500);
  }

  /** Guards against bodies that stop short of their end and stay in memory. */
  @Test
  void refusesARequestThatStalls() {
    channel.writeInbound(chunkedHead(), new DefaultHttpContent(bytes("x")));
    channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
    assertThat(responses.get(0).status()).isEqualTo(HttpResponseStatus.REQUEST_TIMEOUT);
    assertThat(memories.requests().usedBytes()).isEqualTo(0);
  }

  /** Guards against responses that nobody takes and that stay in memory. */
  @Test
  void closesACallerThatTakesNoResponse() {
    receiveRequest();
    respond("done");
    channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
    assertThat(channel.isActive()).isFalse();
    assertThat(overloads).containsExactly(OverloadReason.SLOW_READER);
  }

  /** Guards against a caller that is closed while its request waits for a back end. */
  @Test
  void keepsACallerWhoseRequestWaits() {
    receiveRequest();
    channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
    assertThat(channel.isActive()).isTrue();
    assertThat(responses).isEmpty();
  }

  /** Guards against heads that are never completed and stay in memory. */
  @Test
  void closesACallerThatStallsInAHead() {
    heads.newHeaders().add(HttpHeaderNames.ACCEPT, "b");
    channel.pipeline().fireUserEventTriggered(IdleStateEvent.ALL_IDLE_STATE_EVENT);
    assertThat(channel.isActive()).isFalse();
  }
}
