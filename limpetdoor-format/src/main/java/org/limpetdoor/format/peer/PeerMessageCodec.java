package org.limpetdoor.format.peer;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.gateway.CrashReport;
import org.limpetdoor.core.gateway.ModelKey;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.limits.UseReport;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.DutyHandedOver;
import org.limpetdoor.core.membership.PeerMessage.DutyReleased;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.FactsRequested;
import org.limpetdoor.core.membership.PeerMessage.Heartbeat;
import org.limpetdoor.core.membership.PeerMessage.InstancesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.Leaving;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.LoadedModelChanged;
import org.limpetdoor.core.membership.PeerMessage.ModelRequested;
import org.limpetdoor.core.membership.PeerMessage.RoutesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
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
        packer.packInt(digest.scope().ordinal());
        packer.packLong(digest.times().sentAtMs());
        packer.packLong(digest.times().echoedAtMs());
        packer.packLong(digest.facts().configurationVersion());
        ListingCodec.packPosition(packer, digest.facts().listPosition());
        packer.packBoolean(digest.facts().storeReachable());
        packer.packLong(digest.facts().ageMs());
        packer.packLong(digest.fencingNumber());
        packEngines(packer, digest.inFlight());
        packEngines(packer, digest.gapsMs());
        Values.packKeys(packer, digest.adaptersInUse());
        packer.packMapHeader(digest.arrivals().size());
        for (Map.Entry<ModelKey, Integer> entry : digest.arrivals().entrySet()) {
          Values.packKey(packer, entry.getKey());
          packer.packInt(entry.getValue());
        }
        UseReportCodec.pack(packer, digest.use());
        Values.packList(packer, digest.crashReports(), CrashReportCodec::pack);
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        DigestScope scope = Values.constant(unpacker, DigestScope.values());
        DigestTimes times = new DigestTimes(unpacker.unpackLong(), unpacker.unpackLong());
        StoreFacts facts =
            new StoreFacts(
                unpacker.unpackLong(),
                ListingCodec.unpackPosition(unpacker),
                unpacker.unpackBoolean(),
                unpacker.unpackLong());
        long fencingNumber = unpacker.unpackLong();
        PMap<BackendId, Integer> inFlight = unpackEngines(unpacker);
        PMap<BackendId, Integer> gapsMs = unpackEngines(unpacker);
        PSet<ModelKey> adaptersInUse = Values.unpackKeys(unpacker);
        PMap<ModelKey, Integer> arrivals =
            Values.unpackMap(unpacker, Values::unpackKey, MessageUnpacker::unpackInt);
        UseReport use = UseReportCodec.unpack(unpacker);
        List<CrashReport> crashReports = Values.unpackList(unpacker, CrashReportCodec::unpack);
        return new LoadDigest(
            scope,
            times,
            facts,
            fencingNumber,
            inFlight,
            gapsMs,
            adaptersInUse,
            arrivals,
            use,
            crashReports);
      }
    },
    MODEL_REQUESTED(ModelRequested.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        ModelRequested request = (ModelRequested) message;
        packer.packString(request.service());
        Values.packKey(packer, request.key());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new ModelRequested(unpacker.unpackString(), Values.unpackKey(unpacker));
      }
    },
    LOADED_MODEL_CHANGED(LoadedModelChanged.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        LoadedModelChanged changed = (LoadedModelChanged) message;
        packer.packString(changed.engine().value());
        packer.packLong(changed.startedAtMs());
        packer.packLong(changed.ordersAccepted());
        Values.packKey(packer, changed.key());
        packer.packBoolean(changed.held());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        BackendId engine = new BackendId(unpacker.unpackString());
        long startedAtMs = unpacker.unpackLong();
        long ordersAccepted = unpacker.unpackLong();
        ModelKey key = Values.unpackKey(unpacker);
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
    },
    FACTS_REQUESTED(FactsRequested.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        FactsRequested request = (FactsRequested) message;
        packer.packLong(request.configurationVersion());
        ListingCodec.packPosition(packer, request.listPosition());
        packer.packBoolean(request.withInstances());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new FactsRequested(
            unpacker.unpackLong(), ListingCodec.unpackPosition(unpacker), unpacker.unpackBoolean());
      }
    },
    ROUTES_PASSED_ON(RoutesPassedOn.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        RouteTableCodec.pack(packer, ((RoutesPassedOn) message).table());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new RoutesPassedOn(RouteTableCodec.unpack(unpacker));
      }
    },
    ENGINES_PASSED_ON(EnginesPassedOn.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        ListingCodec.packEngines(packer, ((EnginesPassedOn) message).list());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new EnginesPassedOn(ListingCodec.unpackEngines(unpacker));
      }
    },
    INSTANCES_PASSED_ON(InstancesPassedOn.class) {
      @Override
      void pack(MessageBufferPacker packer, PeerMessage message) throws IOException {
        ListingCodec.packInstances(packer, ((InstancesPassedOn) message).instances());
      }

      @Override
      PeerMessage unpack(MessageUnpacker unpacker) throws IOException {
        return new InstancesPassedOn(ListingCodec.unpackInstances(unpacker));
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
      return Values.unpackMap(
          unpacker, u -> new BackendId(u.unpackString()), MessageUnpacker::unpackInt);
    }
  }
}
