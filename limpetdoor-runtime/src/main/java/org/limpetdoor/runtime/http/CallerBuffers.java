package org.limpetdoor.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Buffers of the connection of one caller. They are in the heap, which fills to its limit beside a
 * crowd anyway; outside of it they would come on top.
 */
public final class CallerBuffers {
  /**
   * Receive buffer of an accepted socket, in bytes. What a caller has sent and the process has not
   * read is in the memory of the machine, where Linux lets it grow to megabytes a socket.
   */
  public static final int RECEIVE_BUFFER_BYTES = 32 << 10;

  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 1 << 10;

  /**
   * Longest read from a connection. A connection may hold this many bytes that are not decoded, and
   * with Netty's 64 kB a thousand connections would hold 64 MB.
   */
  private static final int MAX_READ_BYTES = 8 << 10;

  /** Number of buffers that are read from a socket before the others have their turn. */
  private static final int MAX_READS = 16;

  /** Not pooled: Netty would copy what a caller does not read to pooled buffers. */
  private static final ByteBufAllocator HEAP = new UnpooledByteBufAllocator(false);

  private static final RecvByteBufAllocator SIZES =
      new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
          .respectMaybeMoreData(false)
          .maxMessagesPerRead(MAX_READS);

  private CallerBuffers() {}

  /**
   * Bounds the reads of an accepted connection. It is read until the socket has nothing left: a
   * busy process finds a request and the end of its connection at the same time, and must not send
   * the request to an engine before it has seen the end.
   */
  public static void configure(ChannelConfig connection) {
    connection.setAllocator(HEAP);
    connection.setRecvByteBufAllocator(() -> new HeapReads(SIZES.newHandle()));
  }

  /** Reads into the heap; Netty's own handles allocate outside of it, whatever the allocator. */
  private static final class HeapReads extends RecvByteBufAllocator.DelegatingHandle {
    HeapReads(RecvByteBufAllocator.Handle sizes) {
      super(sizes);
    }

    @Override
    public ByteBuf allocate(ByteBufAllocator allocator) {
      return allocator.heapBuffer(guess());
    }
  }
}
