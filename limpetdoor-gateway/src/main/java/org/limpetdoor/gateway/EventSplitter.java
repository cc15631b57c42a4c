package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Splits a stream of server-sent events at event boundaries. An engine may fail in the middle of an
 * event, and the resumed stream then repeats that event from its start.
 */
final class EventSplitter {
  /** Longest blank line with the end of the line before it, less its last byte. */
  private static final int SEPARATOR_OVERLAP_BYTES = 3;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  /**
   * Longest event, in bytes. An engine in trouble may send bytes without an end of an event until
   * its connection is closed.
   */
  static final int MAX_EVENT_BYTES = 1 << 20;

  private ByteBuf incomplete = Unpooled.EMPTY_BUFFER;
  private Optional<String> lastId = Optional.empty();

  /**
   * Adds received bytes and returns the events that are now complete; the result may be empty. The
   * caller must release it.
   */
  ByteBuf split(ByteBuf received) {
    // Only the new bytes and the end of the old ones can complete an event.
    int searchedBytes = Math.max(0, incomplete.readableBytes() - SEPARATOR_OVERLAP_BYTES);
    if (incomplete.isReadable() && endsNoEvent(received)) {
      incomplete.writeBytes(received, received.readerIndex(), received.readableBytes());
      return Unpooled.EMPTY_BUFFER;
    }
    ByteBuf bytes =
        incomplete.isReadable()
            ? Unpooled.wrappedBuffer(incomplete, received.retain())
            : received.retain();
    int end = lastEventEnd(bytes, bytes.readerIndex() + searchedBytes);
    if (end < 0) {
      incomplete = copyAndRelease(bytes);
      return Unpooled.EMPTY_BUFFER;
    }
    updateLastId(bytes, end);
    ByteBuf events = bytes.readRetainedSlice(end - bytes.readerIndex());
    incomplete = copyAndRelease(bytes);
    return events;
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasIncompleteEvent() {
    return incomplete.isReadable();
  }

  /** Returns the last event identifier among the complete events, if any had one. */
  Optional<String> lastId() {
    return lastId;
  }

  void release() {
    incomplete.release();
    incomplete = Unpooled.EMPTY_BUFFER;
  }

  /** Copies the remaining bytes, usually few, and releases the large receive buffer. */
  private static ByteBuf copyAndRelease(ByteBuf bytes) {
    try {
      if (!bytes.isReadable()) {
        return Unpooled.EMPTY_BUFFER;
      }
      return ByteBufAllocator.DEFAULT.heapBuffer(bytes.readableBytes()).writeBytes(bytes);
    } finally {
      bytes.release();
    }
  }

  /** Returns whether the incomplete event is longer than {@link #MAX_EVENT_BYTES}. */
  boolean isTooLong() {
    return incomplete.readableBytes() > MAX_EVENT_BYTES;
  }

  private static boolean endsNoEvent(ByteBuf received) {
    return received.indexOf(received.readerIndex(), received.writerIndex(), (byte) '\n') < 0;
  }

  /** Returns the index after the last blank line that ends after an index, or -1. */
  private static int lastEventEnd(ByteBuf bytes, int fromIndex) {
    for (int i = bytes.writerIndex() - 1; i > Math.max(fromIndex, bytes.readerIndex()); i--) {
      if (bytes.getByte(i) != '\n') {
        continue;
      }
      boolean blank = bytes.getByte(i - 1) == '\n';
      boolean blankWithReturn =
          i - 3 >= bytes.readerIndex()
              && bytes.getByte(i - 1) == '\r'
              && bytes.getByte(i - 2) == '\n';
      if (blank || blankWithReturn) {
        return i + 1;
      }
    }
    return -1;
  }

  private void updateLastId(ByteBuf bytes, int end) {
    for (int i = end - ID_FIELD.length; i >= bytes.readerIndex(); i--) {
      boolean lineStart = i == bytes.readerIndex() || bytes.getByte(i - 1) == '\n';
      if (lineStart && startsWithId(bytes, i)) {
        int from = i + ID_FIELD.length;
        int to = bytes.indexOf(from, end, (byte) '\n');
        lastId = Optional.of(bytes.toString(from, to - from, StandardCharsets.UTF_8).trim());
        return;
      }
    }
  }

  private static boolean startsWithId(ByteBuf bytes, int at) {
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (bytes.getByte(at + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }
}
