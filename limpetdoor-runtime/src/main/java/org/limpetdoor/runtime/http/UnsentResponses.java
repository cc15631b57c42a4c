package org.limpetdoor.runtime.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.runtime.BodyMemory;

/**
 * What the socket of one caller has not taken of its responses, as part of the memory of all
 * responses. Confined to the traffic thread.
 *
 * <p>It answers callers that read slowly or not at all: their responses stay in memory after their
 * calls have ended.
 */
public final class UnsentResponses {
  private final BodyMemory.Reservation reservation;
  private int writes;
  private long progressBytes;
  private long progressPieces;
  private long lastTakenNs;

  /**
   * Counts nothing yet.
   *
   * @param memory memory that all responses share
   */
  public UnsentResponses(BodyMemory memory) {
    this.reservation = memory.reserve();
  }

  /**
   * Counts a write until the socket has taken it or the connection has ended.
   *
   * @param write result of the write
   * @param bytes length of its content, in bytes
   * @return whether there is memory for more
   */
  public boolean add(ChannelFuture write, int bytes) {
    if (write.isDone()) {
      return true;
    }
    if (writes == 0) {
      lastTakenNs = System.nanoTime();
    }
    writes++;
    boolean allowed = reservation.grow(bytes);
    write.addListener(
        taken -> {
          writes--;
          reservation.shrink(bytes);
          lastTakenNs = System.nanoTime();
        });
    return allowed;
  }

  /** Returns whether the socket has taken all writes. */
  public boolean isEmpty() {
    return writes == 0;
  }

  /**
   * Returns whether the caller has taken no byte for a time although there are some.
   *
   * @param timeoutMs the time, in milliseconds
   */
  public boolean isStalled(Channel channel, long timeoutMs) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    if (writes == 0 || buffer == null) {
      return false;
    }
    long takenPieces = PacedWrites.takenPieces(channel);
    if (buffer.currentProgress() != progressBytes || takenPieces != progressPieces) {
      progressBytes = buffer.currentProgress();
      progressPieces = takenPieces;
      lastTakenNs = System.nanoTime();
    }
    return System.nanoTime() - lastTakenNs >= TimeUnit.MILLISECONDS.toNanos(timeoutMs);
  }
}
