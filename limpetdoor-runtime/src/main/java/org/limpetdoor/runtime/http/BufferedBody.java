package org.limpetdoor.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.limpetdoor.runtime.BodyMemory;

/**
 * A message body in memory. Its blocks count against the memory that all bodies of its kind share,
 * until it is closed, which makes it ready for the next one. Confined to the traffic thread.
 */
public final class BufferedBody implements AutoCloseable {
  private static final int MIN_SPARE_BYTES = 1 << 10;
  private static final int MAX_BLOCK_BYTES = 64 << 10;

  private final BodyMemory.Reservation reservation;

  /** Filled blocks and the current one; a body that grows is never copied as a whole. */
  private final List<byte[]> blocks = new ArrayList<>();

  private int lengthBytes;
  private int freeBytes;

  /**
   * Creates an empty body.
   *
   * @param memory memory that the body shares with others
   */
  public BufferedBody(BodyMemory memory) {
    this.reservation = memory.reserve();
  }

  /** Returns the length, in bytes. */
  public int lengthBytes() {
    return lengthBytes;
  }

  /**
   * Appends the readable bytes, and returns false if there is no memory for them. The body can then
   * only be closed.
   */
  public boolean append(ByteBuf bytes) {
    int index = bytes.readerIndex();
    int remaining = bytes.readableBytes();
    while (remaining > 0) {
      if (freeBytes == 0 && !addBlock(remaining)) {
        return false;
      }
      byte[] block = blocks.get(blocks.size() - 1);
      int length = Math.min(remaining, freeBytes);
      bytes.getBytes(index, block, block.length - freeBytes, length);
      index += length;
      remaining -= length;
      freeBytes -= length;
      lengthBytes += length;
    }
    return true;
  }

  /** Returns a copy of the content. */
  public byte[] toByteArray() {
    byte[] result = new byte[lengthBytes];
    int offset = 0;
    for (byte[] block : blocks) {
      int length = Math.min(block.length, lengthBytes - offset);
      System.arraycopy(block, 0, result, offset, length);
      offset += length;
    }
    return result;
  }

  /**
   * Returns the content without a copy of the filled blocks. Only the block that is not filled is
   * copied, so that the content takes no more memory than its length. It stays valid when the body
   * is closed.
   */
  public ByteBuf content() {
    byte[][] parts = blocks.toArray(byte[][]::new);
    if (freeBytes > 0) {
      byte[] last = parts[parts.length - 1];
      parts[parts.length - 1] = Arrays.copyOf(last, last.length - freeBytes);
    }
    return Unpooled.wrappedBuffer(Math.max(1, parts.length), parts);
  }

  /** Moves what the body has reserved to a new owner of its content. The body is empty then. */
  public BodyMemory.Reservation detachMemory() {
    BodyMemory.Reservation moved = reservation.detach();
    blocks.clear();
    freeBytes = 0;
    lengthBytes = 0;
    return moved;
  }

  /** Drops the content. Its length stays reserved, which then stands for a copy of it. */
  public void dropContent() {
    reservation.shrink(freeBytes);
    blocks.clear();
    freeBytes = 0;
  }

  @Override
  public void close() {
    dropContent();
    lengthBytes = 0;
    reservation.close();
  }

  /** Adds a block of the needed length, or a longer one if more parts follow a first one. */
  private boolean addBlock(int neededBytes) {
    int spareBytes = blocks.isEmpty() ? 0 : Math.max(MIN_SPARE_BYTES, lengthBytes);
    int blockBytes = Math.min(MAX_BLOCK_BYTES, Math.max(neededBytes, spareBytes));
    if (!reservation.tryGrow(blockBytes)) {
      return false;
    }
    blocks.add(new byte[blockBytes]);
    freeBytes = blockBytes;
    return true;
  }
}
