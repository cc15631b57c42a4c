package org.limpetdoor.runtime.peer;

import java.net.InetSocketAddress;
import org.limpetdoor.core.config.Ranges;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/**
 * Settings of the links of one instance.
 *
 * @param self identity of this instance
 * @param address address on which links are accepted
 * @param secret the shared secret, at least 16 bytes
 * @param maxFrameBytes longest accepted frame, in bytes, at least 1
 * @param silenceTimeoutMs time without a received frame after which a link is closed, in
 *     milliseconds, at least 1
 */
public record PeerTransportSettings(
    PeerIdentity self,
    InetSocketAddress address,
    byte[] secret,
    int maxFrameBytes,
    long silenceTimeoutMs) {
  private static final int MIN_SECRET_BYTES = 16;
  private static final int DEFAULT_MAX_FRAME_BYTES = 1 << 20;

  /** Peers send a heartbeat each second, so after 6 s without a frame the connection is lost. */
  private static final long DEFAULT_SILENCE_TIMEOUT_MS = 6_000;

  /** Checks ranges and copies the secret. */
  public PeerTransportSettings {
    Ranges.atLeast("secret bytes", secret.length, MIN_SECRET_BYTES);
    Ranges.atLeast("maxFrameBytes", maxFrameBytes, 1);
    Ranges.atLeast("silenceTimeoutMs", silenceTimeoutMs, 1);
    secret = secret.clone();
  }

  /** Returns settings with the default limits. */
  public static PeerTransportSettings of(
      PeerIdentity self, InetSocketAddress address, byte[] secret) {
    return new PeerTransportSettings(
        self, address, secret, DEFAULT_MAX_FRAME_BYTES, DEFAULT_SILENCE_TIMEOUT_MS);
  }
}
