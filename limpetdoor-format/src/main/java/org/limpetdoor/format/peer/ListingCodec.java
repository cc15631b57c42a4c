package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.List;
import org.limpetdoor.core.gateway.EngineEntry;
import org.limpetdoor.core.gateway.EngineListing;
import org.limpetdoor.core.gateway.StorePosition;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.ListedInstance;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the lists of engines and of instances, and positions in the store. */
final class ListingCodec {
  private ListingCodec() {}

  static void packEngines(MessageBufferPacker packer, EngineListing list) throws IOException {
    packer.packLong(list.era());
    packer.packLong(list.fromOffset());
    packer.packLong(list.toOffset());
    packer.packBoolean(list.complete());
    Values.packList(packer, list.entries(), ListingCodec::packEngine);
    Values.packTexts(packer, list.removed().stream().map(BackendId::value).toList());
  }

  static EngineListing unpackEngines(MessageUnpacker unpacker) throws IOException {
    long era = unpacker.unpackLong();
    long fromOffset = unpacker.unpackLong();
    long toOffset = unpacker.unpackLong();
    boolean complete = unpacker.unpackBoolean();
    List<EngineEntry> entries = Values.unpackList(unpacker, ListingCodec::unpackEngine);
    List<BackendId> removed =
        Values.unpackList(unpacker, reader -> new BackendId(reader.unpackString()));
    return new EngineListing(era, fromOffset, toOffset, entries, removed, complete);
  }

  static void packPosition(MessageBufferPacker packer, StorePosition position) throws IOException {
    packer.packLong(position.era());
    packer.packLong(position.offset());
  }

  static StorePosition unpackPosition(MessageUnpacker unpacker) throws IOException {
    return new StorePosition(unpacker.unpackLong(), unpacker.unpackLong());
  }

  static void packInstances(MessageBufferPacker packer, List<ListedInstance> instances)
      throws IOException {
    Values.packList(packer, instances, ListingCodec::packInstance);
  }

  static List<ListedInstance> unpackInstances(MessageUnpacker unpacker) throws IOException {
    return Values.unpackList(unpacker, ListingCodec::unpackInstance);
  }

  private static void packEngine(MessageBufferPacker packer, EngineEntry entry) throws IOException {
    packer.packString(entry.id().value());
    packer.packString(entry.service());
    packer.packString(entry.address());
    packer.packString(entry.zone().value());
    packer.packInt(entry.slots());
    packer.packBoolean(entry.draining());
    packer.packLong(entry.startedAtMs());
    packer.packLong(entry.ordersAccepted());
    Values.packKeys(packer, entry.held());
    Values.packTexts(packer, entry.copies());
  }

  private static EngineEntry unpackEngine(MessageUnpacker unpacker) throws IOException {
    return new EngineEntry(
        new BackendId(unpacker.unpackString()),
        unpacker.unpackString(),
        unpacker.unpackString(),
        new ZoneId(unpacker.unpackString()),
        unpacker.unpackInt(),
        unpacker.unpackBoolean(),
        unpacker.unpackLong(),
        unpacker.unpackLong(),
        Values.unpackKeys(unpacker),
        Values.unpackTexts(unpacker));
  }

  private static void packInstance(MessageBufferPacker packer, ListedInstance instance)
      throws IOException {
    packer.packString(instance.id().value());
    packer.packString(instance.address());
    packer.packString(instance.zone().value());
    packer.packString(instance.region());
    packer.packBoolean(instance.leaving());
    packer.packDouble(instance.cores());
  }

  private static ListedInstance unpackInstance(MessageUnpacker unpacker) throws IOException {
    return new ListedInstance(
        new InstanceId(unpacker.unpackString()),
        unpacker.unpackString(),
        new ZoneId(unpacker.unpackString()),
        unpacker.unpackString(),
        unpacker.unpackBoolean(),
        unpacker.unpackDouble());
  }
}
