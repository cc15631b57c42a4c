package org.limpetdoor.format.record;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes maps of strings, integers, floating-point numbers, booleans, lists and maps
 * as MessagePack. Declared sizes are checked before memory is allocated.
 */
public final class MessagePackMaps {
  // Valid records nest 7 deep (an intent in a snapshot in a batch); the limit keeps malicious bytes
  // from exhausting the stack.
  private static final int MAX_DEPTH = 16;

  private static final MessagePack.UnpackerConfig CONFIG =
      new MessagePack.UnpackerConfig()
          .withActionOnMalformedString(CodingErrorAction.REPORT)
          .withActionOnUnmappableString(CodingErrorAction.REPORT);

  private MessagePackMaps() {}

  /** Encodes a map. */
  public static byte[] encode(Map<String, ?> map) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      pack(packer, map);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new MalformedRecordException("cannot encode: " + e.getMessage(), e);
    }
  }

  /**
   * Decodes a map.
   *
   * @throws MalformedRecordException if the bytes are not exactly one map with string keys
   */
  public static Map<String, Object> decode(byte[] bytes) {
    try (MessageUnpacker unpacker = CONFIG.newUnpacker(bytes)) {
      Map<String, Object> map = unpackMap(unpacker, bytes.length, 0);
      if (unpacker.hasNext()) {
        throw new MalformedRecordException("bytes after the end of the map", null);
      }
      return map;
    } catch (IOException | MessagePackException e) {
      throw new MalformedRecordException("not a MessagePack map: " + e.getMessage(), e);
    }
  }

  private static void pack(MessagePacker packer, Object value) throws IOException {
    if (value instanceof String text) {
      packer.packString(text);
    } else if (value instanceof Long || value instanceof Integer) {
      packer.packLong(((Number) value).longValue());
    } else if (value instanceof Double number) {
      packer.packDouble(number);
    } else if (value instanceof Boolean flag) {
      packer.packBoolean(flag);
    } else if (value instanceof List<?> list) {
      packer.packArrayHeader(list.size());
      for (Object item : list) {
        pack(packer, item);
      }
    } else if (value instanceof Map<?, ?> map) {
      packer.packMapHeader(map.size());
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        packer.packString((String) entry.getKey());
        pack(packer, entry.getValue());
      }
    } else {
      throw new MalformedRecordException("cannot encode " + value, null);
    }
  }

  private static Object unpack(MessageUnpacker unpacker, int maxSize, int depth)
      throws IOException {
    if (depth > MAX_DEPTH) {
      throw new MalformedRecordException("nesting exceeds the maximum depth of " + MAX_DEPTH, null);
    }
    return switch (unpacker.getNextFormat().getValueType()) {
      case STRING -> unpacker.unpackString();
      case INTEGER -> unpacker.unpackLong();
      case FLOAT -> unpacker.unpackDouble();
      case BOOLEAN -> unpacker.unpackBoolean();
      case ARRAY -> unpackList(unpacker, maxSize, depth);
      case MAP -> unpackMap(unpacker, maxSize, depth);
      default -> throw new MalformedRecordException("value of an unsupported type", null);
    };
  }

  private static List<Object> unpackList(MessageUnpacker unpacker, int maxSize, int depth)
      throws IOException {
    int size = checkSize(unpacker.unpackArrayHeader(), maxSize);
    List<Object> items = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      items.add(unpack(unpacker, maxSize, depth + 1));
    }
    return items;
  }

  private static Map<String, Object> unpackMap(MessageUnpacker unpacker, int maxSize, int depth)
      throws IOException {
    int size = checkSize(unpacker.unpackMapHeader(), maxSize);
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < size; i++) {
      String key = unpacker.unpackString();
      map.put(key, unpack(unpacker, maxSize, depth + 1));
    }
    return map;
  }

  private static int checkSize(int size, int maxSize) {
    if (size > maxSize) {
      throw new MalformedRecordException("declared size exceeds the number of bytes", null);
    }
    return size;
  }
}
