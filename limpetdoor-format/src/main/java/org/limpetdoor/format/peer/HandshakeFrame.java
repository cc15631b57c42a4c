package org.limpetdoor.format.peer;

import java.util.HexFormat;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

/** A frame of the handshake that opens a link between two instances. */
public sealed interface HandshakeFrame {
  /** Protocol version of this build. */
  int PROTOCOL_VERSION = 2;

  /**
   * The first frame of the handshake, sent by the accepting side.
   *
   * @param version protocol version of the accepting side
   * @param nonce nonce of the accepting side
   */
  record Challenge(int version, Nonce nonce) implements HandshakeFrame {}

  /**
   * The response of the dialing side to the challenge.
   *
   * @param version protocol version of the dialing side
   * @param peer identity of the dialing side
   * @param nonce nonce of the dialing side
   * @param proof HMAC over both nonces and the identity of the dialing side
   */
  record Hello(int version, PeerIdentity peer, Nonce nonce, Proof proof)
      implements HandshakeFrame {}

  /**
   * The last frame of the handshake, sent by the accepting side.
   *
   * @param peer identity of the accepting side
   * @param proof HMAC over both nonces and the identity of the accepting side
   */
  record Welcome(PeerIdentity peer, Proof proof) implements HandshakeFrame {}

  /**
   * Identity of an instance on a link.
   *
   * @param instance name of the instance
   * @param incarnation number that differs with each start of the instance
   * @param zone zone in which the instance runs
   */
  record PeerIdentity(InstanceId instance, long incarnation, ZoneId zone) {}

  /**
   * A random number that is used in one handshake only.
   *
   * @param hex 32 lower-case hexadecimal digits
   */
  record Nonce(String hex) {
    private static final int HEX_DIGITS = 32;

    /** Checks the length. */
    public Nonce {
      Ranges.within("nonce length", hex.length(), HEX_DIGITS, HEX_DIGITS);
    }

    /** Returns a nonce with the given 16 bytes. */
    public static Nonce of(byte[] bytes) {
      return new Nonce(HexFormat.of().formatHex(bytes));
    }
  }

  /**
   * An HMAC-SHA-256 that proves knowledge of the shared secret.
   *
   * @param hex 64 lower-case hexadecimal digits
   */
  record Proof(String hex) {
    private static final int HEX_DIGITS = 64;

    /** Checks the length. */
    public Proof {
      Ranges.within("proof length", hex.length(), HEX_DIGITS, HEX_DIGITS);
    }

    /** Returns a proof with the given 32 bytes. */
    public static Proof of(byte[] bytes) {
      return new Proof(HexFormat.of().formatHex(bytes));
    }
  }
}
