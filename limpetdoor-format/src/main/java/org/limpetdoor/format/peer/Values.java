package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.limpetdoor.core.gateway.ModelKey;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/** Reads and writes values that several peer messages contain. */
final class Values {
  private Values() {}

  /** Reads a value. */
  interface Reader<V> {
    V read(MessageUnpacker unpacker) throws IOException;
  }

  /** Writes a value. */
  interface Writer<V> {
    void write(MessageBufferPacker packer, V value) throws IOException;
  }

  static <V> void packList(MessageBufferPacker packer, Collection<V> values, Writer<V> writer)
      throws IOException {
    packer.packArrayHeader(values.size());
    for (V value : values) {
      writer.write(packer, value);
    }
  }

  static <V> List<V> unpackList(MessageUnpacker unpacker, Reader<V> reader) throws IOException {
    int size = unpacker.unpackArrayHeader();
    // The size is not trusted: a forged one must not reserve memory.
    List<V> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(reader.read(unpacker));
    }
    return values;
  }

  static <K, V> PMap<K, V> unpackMap(
      MessageUnpacker unpacker, Reader<K> keyReader, Reader<V> valueReader) throws IOException {
    int size = unpacker.unpackMapHeader();
    Map<K, V> map = new HashMap<>();
    for (int i = 0; i < size; i++) {
      K key = keyReader.read(unpacker);
      map.put(key, valueReader.read(unpacker));
    }
    return HashTreePMap.from(map);
  }

  static void packTexts(MessageBufferPacker packer, Collection<String> texts) throws IOException {
    packList(packer, texts, MessageBufferPacker::packString);
  }

  static PSet<String> unpackTexts(MessageUnpacker unpacker) throws IOException {
    return HashTreePSet.from(unpackList(unpacker, MessageUnpacker::unpackString));
  }

  static void packKeys(MessageBufferPacker packer, Collection<ModelKey> keys) throws IOException {
    packList(packer, keys, Values::packKey);
  }

  static PSet<ModelKey> unpackKeys(MessageUnpacker unpacker) throws IOException {
    Set<ModelKey> keys = new HashSet<>(unpackList(unpacker, Values::unpackKey));
    return HashTreePSet.from(keys);
  }

  static void packKey(MessageBufferPacker packer, ModelKey key) throws IOException {
    packer.packString(key.model());
    packer.packString(key.adapter().orElse(""));
  }

  static ModelKey unpackKey(MessageUnpacker unpacker) throws IOException {
    String model = unpacker.unpackString();
    String adapter = unpacker.unpackString();
    return new ModelKey(model, Optional.of(adapter).filter(name -> !name.isEmpty()));
  }

  /**
   * Reads a constant of an enum by its ordinal.
   *
   * @throws MalformedFrameException if there is no such constant
   */
  static <E extends Enum<E>> E constant(MessageUnpacker unpacker, E[] constants)
      throws IOException {
    int ordinal = unpacker.unpackInt();
    if (ordinal < 0 || ordinal >= constants.length) {
      throw new MalformedFrameException("a known constant", null);
    }
    return constants[ordinal];
  }
}
