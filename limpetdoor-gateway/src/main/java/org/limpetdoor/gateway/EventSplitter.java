package org.limpetdoor.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Cuts a stream of server-sent events at event borders, since an engine may stop in the middle of
 * an event and a resumed stream then repeats that event.
 */
final class EventSplitter {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private ByteBuf rest = Unpooled.EMPTY_BUFFER;
  private Optional<String> lastId = Optional.empty();

  /**
   * Takes more bytes and returns the whole events so far; the caller releases them. The result may
   * be empty.
   */
  ByteBuf take(ByteBuf more) {
    ByteBuf all = rest.isReadable() ? Unpooled.wrappedBuffer(rest, more.retain()) : more.retain();
    int end = lastBorder(all);
    if (end < 0) {
      rest = copyOf(all);
      return Unpooled.EMPTY_BUFFER;
    }
    noteLastId(all, end);
    ByteBuf events = all.readRetainedSlice(end - all.readerIndex());
    rest = copyOf(all);
    return events;
  }

  /** Returns whether bytes of an unfinished event are left. */
  boolean hasRest() {
    return rest.isReadable();
  }

  /** Returns the identifier of the last whole event, if it had one. */
  Optional<String> lastId() {
    return lastId;
  }

  void release() {
    rest.release();
    rest = Unpooled.EMPTY_BUFFER;
  }

  /** Copies the few bytes that are left, so that large receive buffers are not held. */
  private static ByteBuf copyOf(ByteBuf all) {
    try {
      if (!all.isReadable()) {
        return Unpooled.EMPTY_BUFFER;
      }
      return ByteBufAllocator.DEFAULT.heapBuffer(all.readableBytes()).writeBytes(all);
    } finally {
      all.release();
    }
  }

  /** Returns the index after the last blank line, or -1. */
  private static int lastBorder(ByteBuf bytes) {
    for (int i = bytes.writerIndex() - 1; i > bytes.readerIndex(); i--) {
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

  private void noteLastId(ByteBuf bytes, int end) {
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
