package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;
import org.limpetdoor.core.membership.PeerMessage.Heartbeat;
import org.limpetdoor.core.membership.PeerMessage.Leaving;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.pcollections.HashTreePMap;
import org.pcollections.HashTreePSet;
import org.pcollections.PMap;
import org.pcollections.PSet;

/**
 * Encodes and decodes messages between instances as MessagePack: a kind number, then the fields in
 * order.
 */
public final class PeerMessageCodec {
  private PeerMessageCodec() {}

  /**
   * Encodes a message.
   *
   * @throws MalformedFrameException if messages of this kind are not sent between instances
   */
  public static byte[] encode(PeerMessage message) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      Kind kind = Kind.of(message);
      packer.packInt(kind.ordinal());
      kind.pack(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new MalformedFrameException("an encodable peer message", e);
    }
  }

  /**
   * Decodes a message.
   *
   * @throws MalformedFrameException if the bytes are not exactly one message
   */
  public static PeerMessage decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int kindNumber = unpacker.unpackInt();
      if (kindNumber < 0 || kindNumber >= Kind.values().length) {
        throw new MalformedFrameException("a known kind of peer message", null);
      }
      PeerMessage message = Kind.values()[kindNumber].unpack(unpacker);
      if (unpacker.hasNext()) {
        throw new MalformedFrameException("no bytes after the peer message", null);
      }
      return message;
    } catch (MalformedFrameException e) {
      throw e;
    } catch (IOException | MessagePackException | LimpetdoorException e) {
      throw new MalformedFrameException("a peer message", e);
    }
  }

  /**
   * Kinds of messages. The ordinal is the kind number on the wire, so the order must not change.
   */
  private enum Kind {
    HEARTBEAT(Heartbeat.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        Heartbeat heartbeat = (Heartbeat) message;
        packer.packLong(heartbeat.nextOffset());
        packer.packLong(heartbeat.limitEpoch());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new Heartbeat(unpacker.unpackLong(), unpacker.unpackLong());
      }
    },
    LEAVING(Leaving.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) {}

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) {
        return new Leaving();
      }
    },
    LOAD_DIGEST(LoadDigest.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        LoadDigest digest = (LoadDigest) message;
        packer.packLong(digest.configurationVersion());
        packer.packBoolean(digest.storeReachable());
        packer.packLong(digest.fencingNumber());
        packEngines(packer, digest.inFlight());
        packEngines(packer, digest.gapsMs());
        packer.packArrayHeader(digest.adaptersInUse().size());
        for (ModelKey adapter : digest.adaptersInUse()) {
          packKey(packer, adapter);
        }
        packer.packMapHeader(digest.arrivals().size());
        for (Map.Entry<ModelKey, Integer> entry : digest.arrivals().entrySet()) {
          packKey(packer, entry.getKey());
          packer.packInt(entry.getValue());
        }
        packer.packMapHeader(digest.lostEngines().size());
        for (Map.Entry<Long, Integer> entry : digest.lostEngines().entrySet()) {
          packer.packLong(entry.getKey());
          packer.packInt(entry.getValue());
        }
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        long configurationVersion = unpacker.unpackLong();
        boolean storeReachable = unpacker.unpackBoolean();
        long fencingNumber = unpacker.unpackLong();
        PMap<BackendId, Integer> inFlight = unpackEngines(unpacker);
        PMap<BackendId, Integer> gapsMs = unpackEngines(unpacker);
        PSet<ModelKey> adaptersInUse = unpackKeys(unpacker);
        PMap<ModelKey, Integer> arrivals = unpackMap(unpacker, Kind::unpackKey);
        PMap<Long, Integer> lostEngines = unpackMap(unpacker, MessageUnpacker::unpackLong);
        return new LoadDigest(
            configurationVersion,
            storeReachable,
            fencingNumber,
            inFlight,
            gapsMs,
            adaptersInUse,
            arrivals,
            lostEngines);
      }
    },
    MODEL_REQUESTED(ModelRequested.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        ModelRequested request = (ModelRequested) message;
        packer.packString(request.service());
        packKey(packer, request.key());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new ModelRequested(unpacker.unpackString(), unpackKey(unpacker));
      }
    },
    LOADED_MODEL_CHANGED(LoadedModelChanged.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        LoadedModelChanged changed = (LoadedModelChanged) message;
        packer.packString(changed.engine().value());
        packer.packLong(changed.startedAtMs());
        packer.packLong(changed.ordersAccepted());
        packKey(packer, changed.key());
        packer.packBoolean(changed.held());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        BackendId engine = new BackendId(unpacker.unpackString());
        long startedAtMs = unpacker.unpackLong();
        long ordersAccepted = unpacker.unpackLong();
        ModelKey key = unpackKey(unpacker);
        return new LoadedModelChanged(
            engine, startedAtMs, ordersAccepted, key, unpacker.unpackBoolean());
      }
    },
    DUTY_RELEASED(DutyReleased.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        packer.packLong(((DutyReleased) message).fencingNumber());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new DutyReleased(unpacker.unpackLong());
      }
    },
    DUTY_HANDED_OVER(DutyHandedOver.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        packer.packLong(((DutyHandedOver) message).fencingNumber());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new DutyHandedOver(unpacker.unpackLong());
      }
    };

    private final Class<? extends PeerMessage> type;

    Kind(Class<? extends PeerMessage> type) {
      this.type = type;
    }

    abstract void pack(MessageBufferPacker packer, PeerMessage message) throws IOException;

    abstract PeerMessage unpack(MessageUnpacker unpacker) throws IOException;

    static Kind of(PeerMessage message) {
      for (Kind kind : values()) {
        if (kind.type.isInstance(message)) {
          return kind;
        }
      }
      throw new MalformedFrameException("a peer message that is sent between instances", null);
    }

    private interface KeyReader<K> {
      K read(MessageUnpacker unpacker) throws IOException;
    }

    private static <K> PMap<K, Integer> unpackMap(MessageUnpacker unpacker, KeyReader<K> keyReader)
        throws IOException {
      int size = unpacker.unpackMapHeader();
      Map<K, Integer> map = new HashMap<>();
      for (int i = 0; i < size; i++) {
        K key = keyReader.read(unpacker);
        map.put(key, unpacker.unpackInt());
      }
      return HashTreePMap.from(map);
    }

    private static void packEngines(MessageBufferPacker packer, PMap<BackendId, Integer> engines)
        throws IOException {
      packer.packMapHeader(engines.size());
      for (Map.Entry<BackendId, Integer> entry : engines.entrySet()) {
        packer.packString(entry.getKey().value());
        packer.packInt(entry.getValue());
      }
    }

    private static PMap<BackendId, Integer> unpackEngines(MessageUnpacker unpacker)
        throws IOException {
      return unpackMap(unpacker, u -> new BackendId(u.unpackString()));
    }

    private static PSet<ModelKey> unpackKeys(MessageUnpacker unpacker) throws IOException {
      int size = unpacker.unpackArrayHeader();
      Set<ModelKey> keys = new HashSet<>();
      for (int i = 0; i < size; i++) {
        keys.add(unpackKey(unpacker));
      }
      return HashTreePSet.from(keys);
    }

    private static void packKey(MessageBufferPacker packer, ModelKey key) throws IOException {
      packer.packString(key.model());
      packer.packString(key.adapter().orElse(""));
    }

    private static ModelKey unpackKey(MessageUnpacker unpacker) throws IOException {
      String model = unpacker.unpackString();
      String adapter = unpacker.unpackString();
      return new ModelKey(model, Optional.of(adapter).filter(name -> !name.isEmpty()));
    }
  }
}
