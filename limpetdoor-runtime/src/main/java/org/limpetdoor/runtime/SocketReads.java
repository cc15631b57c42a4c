package org.limpetdoor.runtime;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/** Sizes of the reads from connections to engines and peers. */
public final class SocketReads {
  private static final int MIN_READ_BYTES = 64;
  private static final int FIRST_READ_BYTES = 2 << 10;

  /**
   * Longest read from a connection. Netty's allocator takes 32 times the length of a buffer from
   * the machine, which is 2 MB for its default of 64 kB.
   */
  private static final int MAX_READ_BYTES = 16 << 10;

  private SocketReads() {}

  /** Returns an allocator of the buffers that a connection is read into. */
  public static RecvByteBufAllocator bounded() {
    return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
  }
}
