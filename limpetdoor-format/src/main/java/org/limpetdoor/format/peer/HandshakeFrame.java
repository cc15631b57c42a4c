package org.limpetdoor.format.peer;

import java.util.HexFormat;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

/** A frame of the handshake that opens a link between two instances. */
public sealed interface HandshakeFrame {
  /** Protocol version of this build. */
  int PROTOCOL_VERSION = 1;

  /**
   * First frame, sent by the accepting side.
   *
   * @param version protocol version of the accepting side
   * @param nonce random number used once
   */
  record Challenge(int version, Nonce nonce) implements HandshakeFrame {}

  /**
   * Answer of the dialing side.
   *
   * @param version protocol version of the dialing side
   * @param peer who dials
   * @param nonce random number used once
   * @param proof HMAC over both nonces and the identity
   */
  record Hello(int version, PeerIdentity peer, Nonce nonce, Proof proof)
      implements HandshakeFrame {}

  /**
   * Last frame, sent by the accepting side.
   *
   * @param peer who accepts
   * @param proof HMAC over both nonces and the identity
   */
  record Welcome(PeerIdentity peer, Proof proof) implements HandshakeFrame {}

  /**
   * Identity of an instance on a link.
   *
   * @param instance name of the instance
   * @param incarnation number that differs between two starts
   * @param zone zone that it runs in
   */
  record PeerIdentity(InstanceId instance, long incarnation, ZoneId zone) {}

  /**
   * Random number used once.
   *
   * @param hex 32 lower-case hexadecimal digits
   */
  record Nonce(String hex) {
    private static final int LENGTH_CHARS = 32;

    /** Checks the length. */
    public Nonce {
      Ranges.within("nonce length", hex.length(), LENGTH_CHARS, LENGTH_CHARS);
    }

    /** Returns a nonce with the given 16 bytes. */
    public static Nonce of(byte[] bytes) {
      return new Nonce(HexFormat.of().formatHex(bytes));
    }
  }

  /**
   * HMAC-SHA-256 that shows knowledge of the shared secret.
   *
   * @param hex 64 lower-case hexadecimal digits
   */
  record Proof(String hex) {
    private static final int LENGTH_CHARS = 64;

    /** Checks the length. */
    public Proof {
      Ranges.within("proof length", hex.length(), LENGTH_CHARS, LENGTH_CHARS);
    }

    /** Returns a proof with the given 32 bytes. */
    public static Proof of(byte[] bytes) {
      return new Proof(HexFormat.of().formatHex(bytes));
    }
  }
}
