package org.limpetdoor.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.PendingWriteQueue;
import java.nio.channels.ClosedChannelException;

/**
 * Writes a long buffer of the heap in pieces, each when the socket has taken the one before.
 * Confined to the event loop.
 *
 * <p>What is written is first copied to a buffer outside of the heap: by the Java library, which
 * keeps one such buffer for each thread, as long as the longest write, or by Netty, if the
 * allocator of the connection pools such buffers, until the caller has read all of it.
 */
public final class PacedWrites extends ChannelDuplexHandler {
  /** Longest piece, in bytes. */
  static final int PIECE_BYTES = 16 << 10;

  private PendingWriteQueue queue;
  private boolean awaitingPiece;
  private long takenPieces;

  /**
   * Returns how many pieces the socket of a connection has taken; 0 if the connection does not
   * write in pieces.
   */
  static long takenPieces(Channel connection) {
    PacedWrites handler = connection.pipeline().get(PacedWrites.class);
    return handler == null ? 0 : handler.takenPieces;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    queue = new PendingWriteQueue(context);
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    if (queue.isEmpty() && !isLong(message)) {
      context.write(message, promise);
      return;
    }
    queue.add(message, promise);
  }

  @Override
  public void flush(ChannelHandlerContext context) {
    context.flush();
    writeQueued(context);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    queue.removeAndFailAll(new ClosedChannelException());
    context.fireChannelInactive();
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    queue.removeAndFailAll(new ClosedChannelException());
  }

  private static boolean isLong(Object message) {
    return message instanceof ByteBuf bytes
        && !bytes.isDirect()
        && bytes.readableBytes() > PIECE_BYTES;
  }

  private void writeQueued(ChannelHandlerContext context) {
    while (!queue.isEmpty() && !awaitingPiece) {
      ChannelFuture write = writePiece(context);
      context.flush();
      awaitingPiece = true;
      if (write.isDone()) {
        pieceWritten(write);
      } else {
        write.addListener(
            taken -> {
              pieceWritten(write);
              writeQueued(context);
            });
      }
    }
  }

  /** Writes the next piece, or the next message if it is short. */
  private ChannelFuture writePiece(ChannelHandlerContext context) {
    Object message = queue.current();
    if (!isLong(message)) {
      return queue.removeAndWrite();
    }
    return context.write(((ByteBuf) message).readRetainedSlice(PIECE_BYTES));
  }

  private void pieceWritten(ChannelFuture write) {
    awaitingPiece = false;
    if (write.isSuccess()) {
      takenPieces++;
    } else {
      queue.removeAndFailAll(write.cause());
    }
  }
}
