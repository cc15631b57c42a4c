package org.limpetdoor.runtime.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Sizes of what is received for one caller and not decoded yet. */
public final class SocketReads {
  /**
   * Receive buffer of an accepted socket, in bytes. What a caller has sent and the process has not
   * read is in the memory of the machine, where Linux lets it grow to megabytes a socket.
   */
  public static final int RECEIVE_BUFFER_BYTES = 32 << 10;

  private static final int MIN_READ_BYTES = 512;
  private static final int FIRST_READ_BYTES = 1 << 10;

  /**
   * Longest read from a connection. A connection may hold this many bytes that are not decoded, and
   * with Netty's 64 kB a thousand connections would hold 64 MB outside of the heap.
   */
  private static final int MAX_READ_BYTES = 8 << 10;

  /** Number of buffers that are read from a socket before the others have their turn. */
  private static final int MAX_READS = 16;

  private SocketReads() {}

  /**
   * Returns an allocator that reads a socket until it has nothing left. A busy process finds a
   * request and the end of its connection at the same time, and must not send the request to an
   * engine before it has seen the end.
   */
  public static RecvByteBufAllocator untilEmpty() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS);
  }
}
