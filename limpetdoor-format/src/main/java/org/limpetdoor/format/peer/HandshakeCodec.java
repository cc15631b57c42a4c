package org.limpetdoor.format.peer;

import java.io.IOException;
import org.limpetdoor.core.LimpetdoorException;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.peer.HandshakeFrame.Challenge;
import org.limpetdoor.format.peer.HandshakeFrame.Hello;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;
import org.limpetdoor.format.peer.HandshakeFrame.Proof;
import org.limpetdoor.format.peer.HandshakeFrame.Welcome;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes handshake frames as MessagePack: a kind number, then the fields in order. */
public final class HandshakeCodec {
  private HandshakeCodec() {}

  /** Encodes a frame. */
  public static byte[] encode(HandshakeFrame frame) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      Kind kind = Kind.of(frame);
      packer.packInt(kind.ordinal());
      kind.pack(packer, frame);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new MalformedFrameException("an encodable handshake frame", e);
    }
  }

  /**
   * Decodes a frame.
   *
   * @throws MalformedFrameException if the bytes are not exactly one handshake frame
   */
  public static HandshakeFrame decode(byte[] bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      int kindNumber = unpacker.unpackInt();
      if (kindNumber < 0 || kindNumber >= Kind.values().length) {
        throw new MalformedFrameException("a handshake kind from 0 to 2", null);
      }
      HandshakeFrame frame = Kind.values()[kindNumber].unpack(unpacker);
      if (unpacker.hasNext()) {
        throw new MalformedFrameException("no bytes after the handshake frame", null);
      }
      return frame;
    } catch (MalformedFrameException e) {
      throw e;
    } catch (IOException | MessagePackException | LimpetdoorException e) {
      throw new MalformedFrameException("a handshake frame", e);
    }
  }

  /**
   * Kinds of handshake frames. The ordinal is the kind number on the wire, so the order must not
   * change.
   */
  private enum Kind {
    CHALLENGE(Challenge.class) {
      @Override
      void pack(MessageBufferPacker packer, HandshakeFrame frame) throws IOException {
        Challenge challenge = (Challenge) frame;
        packer.packInt(challenge.version());
        packer.packString(challenge.nonce().hex());
      }

      @Override
      HandshakeFrame unpack(MessageUnpacker unpacker) throws IOException {
        return new Challenge(unpacker.unpackInt(), new Nonce(unpacker.unpackString()));
      }
    },
    HELLO(Hello.class) {
      @Override
      void pack(MessageBufferPacker packer, HandshakeFrame frame) throws IOException {
        Hello hello = (Hello) frame;
        packer.packInt(hello.version());
        packPeer(packer, hello.peer());
        packer.packString(hello.nonce().hex());
        packer.packString(hello.proof().hex());
      }

      @Override
      HandshakeFrame unpack(MessageUnpacker unpacker) throws IOException {
        int version = unpacker.unpackInt();
        PeerIdentity peer = unpackPeer(unpacker);
        Nonce nonce = new Nonce(unpacker.unpackString());
        return new Hello(version, peer, nonce, new Proof(unpacker.unpackString()));
      }
    },
    WELCOME(Welcome.class) {
      @Override
      void pack(MessageBufferPacker packer, HandshakeFrame frame) throws IOException {
        Welcome welcome = (Welcome) frame;
        packPeer(packer, welcome.peer());
        packer.packString(welcome.proof().hex());
      }

      @Override
      HandshakeFrame unpack(MessageUnpacker unpacker) throws IOException {
        return new Welcome(unpackPeer(unpacker), new Proof(unpacker.unpackString()));
      }
    };

    private final Class<? extends HandshakeFrame> type;

    Kind(Class<? extends HandshakeFrame> type) {
      this.type = type;
    }

    abstract void pack(MessageBufferPacker packer, HandshakeFrame frame) throws IOException;

    abstract HandshakeFrame unpack(MessageUnpacker unpacker) throws IOException;

    static Kind of(HandshakeFrame frame) {
      for (Kind kind : values()) {
        if (kind.type.isInstance(frame)) {
          return kind;
        }
      }
      throw new MalformedFrameException("a known handshake frame", null);
    }

    private static void packPeer(MessageBufferPacker packer, PeerIdentity peer) throws IOException {
      packer.packString(peer.instance().value());
      packer.packLong(peer.incarnation());
      packer.packString(peer.zone().value());
    }

    private static PeerIdentity unpackPeer(MessageUnpacker unpacker) throws IOException {
      InstanceId instance = new InstanceId(unpacker.unpackString());
      long incarnation = unpacker.unpackLong();
      return new PeerIdentity(instance, incarnation, new ZoneId(unpacker.unpackString()));
    }
  }
}
