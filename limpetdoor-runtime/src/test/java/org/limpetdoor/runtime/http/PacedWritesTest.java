package org.limpetdoor.runtime.http;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.channels.ClosedChannelException;
import org.junit.jupiter.api.Test;

/** Tests how much of a long response is written before the socket has taken what came before. */
class PacedWritesTest {
  private static final int PIECE_BYTES = PacedWrites.PIECE_BYTES;

  private final UnreadingSocket socket = new UnreadingSocket();
  private final EmbeddedChannel channel = new EmbeddedChannel(socket, new PacedWrites());

  /** Guards against an unread response that is copied in whole to memory outside of the heap. */
  @Test
  void writesALongBufferPieceByPiece() {
    byte[] response = content(5 * PIECE_BYTES / 2);
    ChannelFuture write = channel.writeAndFlush(Unpooled.wrappedBuffer(response));
    assertThat(socket.heldBytes()).isEqualTo(PIECE_BYTES);

    ByteBuf taken = Unpooled.buffer(response.length);
    for (int piece = 0; piece < 3; piece++) {
      assertThat(write.isDone()).isFalse();
      assertThat(PacedWrites.takenPieces(channel)).isEqualTo(piece);
      taken.writeBytes(socket.take());
    }
    assertThat(write.isSuccess()).isTrue();
    assertThat(taken.array()).isEqualTo(response);
  }

  /** Guards against a response that overtakes the rest of the one before it. */
  @Test
  void keepsTheOrderOfWrites() {
    byte[] first = content(PIECE_BYTES + 1);
    byte[] second = {7};
    ChannelFuture firstWrite = channel.writeAndFlush(Unpooled.wrappedBuffer(first));
    ChannelFuture secondWrite = channel.writeAndFlush(Unpooled.wrappedBuffer(second));

    assertThat(socket.take()).hasLength(PIECE_BYTES);
    assertThat(socket.take()).hasLength(1);
    assertThat(firstWrite.isSuccess()).isTrue();
    assertThat(secondWrite.isDone()).isFalse();
    assertThat(socket.take()).isEqualTo(second);
    assertThat(secondWrite.isSuccess()).isTrue();
  }

  /** Guards against short responses that each wait until the one before has been taken. */
  @Test
  void writesShortBuffersAtOnce() {
    channel.write(Unpooled.wrappedBuffer(content(PIECE_BYTES)));
    channel.writeAndFlush(Unpooled.wrappedBuffer(content(PIECE_BYTES)));
    assertThat(socket.heldBytes()).isEqualTo(2 * PIECE_BYTES);
  }

  /** Guards against memory that stays counted after the caller has left. */
  @Test
  void failsWhatIsQueuedWhenTheConnectionEnds() {
    ByteBuf response = Unpooled.wrappedBuffer(content(3 * PIECE_BYTES));
    ChannelFuture write = channel.writeAndFlush(response);
    socket.take();
    channel.close();
    socket.take();

    assertThat(write.cause()).isInstanceOf(ClosedChannelException.class);
    assertThat(response.refCnt()).isEqualTo(0);
  }

  /** Guards against a queue that is written on although a piece before it has failed. */
  @Test
  void failsWhatIsQueuedBehindAFailedPiece() {
    ChannelFuture write = channel.writeAndFlush(Unpooled.wrappedBuffer(content(3 * PIECE_BYTES)));
    IllegalStateException cause = new IllegalStateException();
    socket.fail(cause);

    assertThat(write.cause()).isSameInstanceAs(cause);
    assertThat(socket.heldBytes()).isEqualTo(0);
  }

  private static byte[] content(int lengthBytes) {
    byte[] content = new byte[lengthBytes];
    for (int i = 0; i < lengthBytes; i++) {
      content[i] = (byte) (i * 31 >> 3);
    }
    return content;
  }
}
