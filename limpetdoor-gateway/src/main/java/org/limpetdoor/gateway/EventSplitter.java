package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
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
  private List<Optional<String>> ids = List.of();

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
    ids = readIds(bytes, end);
    ByteBuf events = bytes.readRetainedSlice(end - bytes.readerIndex());
    incomplete = copyAndRelease(bytes);
    return events;
  }

  /** Returns whether an incomplete event is buffered. */
  boolean hasIncompleteEvent() {
    return incomplete.isReadable();
  }

  /** Returns the identifier of each event that the last call of {@link #split} has completed. */
  List<Optional<String>> ids() {
    return ids;
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

  /** Reads the identifiers of the complete events before an index. */
  private static List<Optional<String>> readIds(ByteBuf bytes, int end) {
    List<Optional<String>> ids = new ArrayList<>();
    Optional<String> id = Optional.empty();
    int lineStart = bytes.readerIndex();
    boolean inEvent = false;
    while (lineStart < end) {
      int lineEnd = bytes.indexOf(lineStart, end, (byte) '\n');
      boolean blank = isBlank(bytes, lineStart, lineEnd);
      if (startsWithId(bytes, lineStart)) {
        int from = lineStart + ID_FIELD.length;
        id = Optional.of(bytes.toString(from, lineEnd - from, StandardCharsets.UTF_8).trim());
      }
      if (blank && inEvent) {
        ids.add(id);
        id = Optional.empty();
      }
      inEvent = !blank;
      lineStart = lineEnd + 1;
    }
    return ids;
  }

  private static boolean isBlank(ByteBuf bytes, int lineStart, int lineEnd) {
    int length = lineEnd - lineStart;
    return length == 0 || (length == 1 && bytes.getByte(lineStart) == '\r');
  }

  private static boolean startsWithId(ByteBuf bytes, int at) {
    if (at + ID_FIELD.length > bytes.writerIndex()) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (bytes.getByte(at + i) != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }
}
