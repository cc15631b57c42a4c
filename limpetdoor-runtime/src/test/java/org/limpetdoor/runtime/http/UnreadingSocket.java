package org.limpetdoor.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import java.util.ArrayDeque;
import java.util.Deque;

/** Stands in for the socket of a caller that does not read: each write waits for {@link #take}. */
final class UnreadingSocket extends ChannelOutboundHandlerAdapter {
  private final Deque<ByteBuf> writes = new ArrayDeque<>();
  private final Deque<ChannelPromise> promises = new ArrayDeque<>();

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    writes.add((ByteBuf) message);
    promises.add(promise);
  }

  /** Takes the oldest write and returns its content. */
  byte[] take() {
    byte[] content = removeOldest();
    promises.remove().setSuccess();
    return content;
  }

  /** Fails the oldest write. */
  void fail(Throwable cause) {
    removeOldest();
    promises.remove().setFailure(cause);
  }

  /** Returns the length of the writes that are not taken, in bytes. */
  int heldBytes() {
    return writes.stream().mapToInt(ByteBuf::readableBytes).sum();
  }

  private byte[] removeOldest() {
    ByteBuf bytes = writes.remove();
    byte[] content = new byte[bytes.readableBytes()];
    bytes.readBytes(content);
    bytes.release();
    return content;
  }
}
