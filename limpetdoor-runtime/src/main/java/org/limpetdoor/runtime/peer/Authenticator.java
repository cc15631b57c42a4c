package org.limpetdoor.runtime.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;
import org.limpetdoor.format.peer.HandshakeFrame.Proof;

/**
 * Computes and verifies HMAC-SHA-256 codes (RFC 2104) with one key. Comparisons take constant time.
 */
final class Authenticator {
  /**
   * Length of the tag at the end of each frame. RFC 2104 recommends at least half of the hash
   * length.
   */
  static final int TAG_BYTES = 16;

  private static final String ALGORITHM = "HmacSHA256";

  /**
   * An initialized code that is only copied. A copy saves the look-up of the algorithm and half of
   * the hashing of a short frame.
   */
  private final Mac initialized;

  Authenticator(byte[] secret) {
    try {
      this.initialized = Mac.getInstance(ALGORITHM);
      initialized.init(new SecretKeySpec(secret, ALGORITHM));
    } catch (GeneralSecurityException e) {
      throw new MissingAlgorithmException(ALGORITHM, e);
    }
  }

  /** Returns the proof that the given side sends in the handshake. */
  Proof proof(LinkRole prover, PeerIdentity peer, Nonce dialerNonce, Nonce acceptorNonce) {
    return Proof.of(hmac(handshakeText("proof", prover, peer, dialerNonce, acceptorNonce)));
  }

  /** Returns whether two proofs are equal. */
  static boolean matches(Proof expected, Proof actual) {
    return MessageDigest.isEqual(
        expected.hex().getBytes(StandardCharsets.UTF_8),
        actual.hex().getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the authenticator of the frames that the given side sends in a session. */
  Authenticator sessionKey(LinkRole sender, Nonce dialerNonce, Nonce acceptorNonce) {
    String text = "session|" + sender + "|" + dialerNonce.hex() + "|" + acceptorNonce.hex();
    return new Authenticator(hmac(text.getBytes(StandardCharsets.UTF_8)));
  }

  /** Returns the frame of a payload: the payload followed by its tag. */
  byte[] appendTag(byte[] payload, long frameNumber) {
    byte[] frame = Arrays.copyOf(payload, payload.length + TAG_BYTES);
    System.arraycopy(computeTag(payload, frameNumber), 0, frame, payload.length, TAG_BYTES);
    return frame;
  }

  /** Returns the payload of a frame, or null if the tag is invalid. */
  byte[] verifyAndRemoveTag(byte[] frame, long frameNumber) {
    if (frame.length < TAG_BYTES) {
      return null;
    }
    byte[] payload = Arrays.copyOf(frame, frame.length - TAG_BYTES);
    byte[] tag = Arrays.copyOfRange(frame, frame.length - TAG_BYTES, frame.length);
    return MessageDigest.isEqual(computeTag(payload, frameNumber), tag) ? payload : null;
  }

  private byte[] computeTag(byte[] payload, long frameNumber) {
    ByteBuffer text = ByteBuffer.allocate(Long.BYTES + payload.length);
    text.putLong(frameNumber).put(payload);
    return Arrays.copyOf(hmac(text.array()), TAG_BYTES);
  }

  private static byte[] handshakeText(
      String purpose, LinkRole prover, PeerIdentity peer, Nonce dialer, Nonce acceptor) {
    String text =
        String.join(
            "|",
            purpose,
            prover.name(),
            peer.instance().value(),
            String.valueOf(peer.incarnation()),
            peer.zone().value(),
            dialer.hex(),
            acceptor.hex());
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private byte[] hmac(byte[] text) {
    try {
      return ((Mac) initialized.clone()).doFinal(text);
    } catch (CloneNotSupportedException e) {
      throw new MissingAlgorithmException(ALGORITHM, e);
    }
  }
}
