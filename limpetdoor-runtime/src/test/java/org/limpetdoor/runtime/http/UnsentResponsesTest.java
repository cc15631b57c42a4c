package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.limpetdoor.runtime.BodyMemory;

/** Tests what responses take that their callers do not read. */
class UnsentResponsesTest {
  private static final int CAPACITY_BYTES = 1_000;
  private static final int STALL_TIMEOUT_MS = 10;

  private final BodyMemory memory = BodyMemory.ofBytes(CAPACITY_BYTES);
  private final UnsentResponses unsent = new UnsentResponses(memory);
  private final EmbeddedChannel channel = new EmbeddedChannel();

  /** Guards against responses that no sum counts once their calls have ended. */
  @Test
  void countsAResponseUntilTheSocketHasTakenIt() {
    ChannelPromise write = channel.newPromise();
    assertThat(unsent.add(write, 400)).isTrue();
    assertThat(memory.usedBytes()).isEqualTo(400);

    write.setSuccess();
    assertThat(memory.usedBytes()).isEqualTo(0);
    assertThat(unsent.isEmpty()).isTrue();
  }

  /** Guards against an engine that is read from although there is no memory for its events. */
  @Test
  void allowsNoMoreThanIsFree() {
    assertThat(unsent.add(channel.newPromise(), 400)).isTrue();
    assertThat(unsent.add(channel.newPromise(), 400)).isFalse();
    assertThat(memory.usedBytes()).isEqualTo(800);
  }

  /** Guards against closing callers that have taken all of their responses. */
  @Test
  void isStalledOnlyWhileSomethingIsUnsent() {
    assertThat(unsent.isStalled(channel, 0)).isFalse();
    ChannelPromise write = channel.newPromise();
    unsent.add(write, 1);
    assertThat(unsent.isStalled(channel, 0)).isTrue();
    assertThat(unsent.isStalled(channel, 60_000)).isFalse();
    write.setFailure(new IllegalStateException());
    assertThat(unsent.isStalled(channel, 0)).isFalse();
  }

  /** Guards against closing a caller that takes a long response in whole pieces. */
  @Test
  void isNotStalledWhilePiecesAreTaken() throws Exception {
    UnreadingSocket socket = new UnreadingSocket();
    EmbeddedChannel connection = new EmbeddedChannel(socket, new PacedWrites());
    byte[] response = new byte[3 * PacedWrites.PIECE_BYTES];
    unsent.add(connection.writeAndFlush(Unpooled.wrappedBuffer(response)), response.length);
    Thread.sleep(2 * STALL_TIMEOUT_MS);
    socket.take();
    assertThat(unsent.isStalled(connection, STALL_TIMEOUT_MS)).isFalse();
    Thread.sleep(2 * STALL_TIMEOUT_MS);
    assertThat(unsent.isStalled(connection, STALL_TIMEOUT_MS)).isTrue();
  }
}
