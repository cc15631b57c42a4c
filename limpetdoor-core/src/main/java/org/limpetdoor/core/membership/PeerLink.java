package org.limpetdoor.core.membership;

/**
 * The link to a peer.
 *
 * @param established whether messages can be sent
 * @param lastReceivedAtMs time at which the link was established or the last message arrived, in
 *     monotonic milliseconds
 * @param attempts connection attempts since the link was last established
 * @param retryAtMs earliest time of the next connection attempt, in monotonic milliseconds
 * @param attemptedAtMs time of the last connection attempt, in monotonic milliseconds
 */
public record PeerLink(
    boolean established, long lastReceivedAtMs, int attempts, long retryAtMs, long attemptedAtMs) {
  /** A link without any connection attempt. */
  public static final PeerLink NONE = new PeerLink(false, 0, 0, 0, 0);

  /** Delay after the first failed attempt, in milliseconds; doubled for each further one. */
  static final long INITIAL_BACKOFF_MS = 1_000;

  private static final int MAX_DOUBLINGS = 4;

  /**
   * Time without a message after which a link is not used, in milliseconds. Peers send a digest at
   * least twice a second.
   */
  private static final long UNUSABLE_SILENCE_MS = 1_500;

  /** Time for which an attempt to connect is awaited, in milliseconds. */
  private static final long CONNECT_WAIT_MS = 700;

  /** Returns the status of the peer. A peer without an established link is down. */
  public PeerStatus statusAt(long nowMs) {
    return established ? PeerStatus.afterSilence(nowMs - lastReceivedAtMs) : PeerStatus.DOWN;
  }

  PeerLink withMessageReceived(long nowMs) {
    return new PeerLink(established, nowMs, attempts, retryAtMs, attemptedAtMs);
  }

  PeerLink withEstablished(long nowMs) {
    return new PeerLink(true, nowMs, 0, nowMs, attemptedAtMs);
  }

  PeerLink withClosed(long nowMs) {
    return new PeerLink(
        false,
        lastReceivedAtMs,
        attempts,
        Math.max(retryAtMs, nowMs + INITIAL_BACKOFF_MS),
        attemptedAtMs);
  }

  /** Returns a copy with one more attempt, after which the next one is delayed. */
  public PeerLink withConnectionAttempt(long nowMs) {
    long backoffMs = INITIAL_BACKOFF_MS << Math.min(attempts, MAX_DOUBLINGS);
    return new PeerLink(established, lastReceivedAtMs, attempts + 1, nowMs + backoffMs, nowMs);
  }

  /** Returns whether an attempt to connect is due. */
  public boolean isConnectionDue(long nowMs) {
    return !established && nowMs >= retryAtMs;
  }

  /** Returns whether the link is established and its peer sends messages. */
  public boolean isUsable(long nowMs) {
    return established && nowMs - lastReceivedAtMs < UNUSABLE_SILENCE_MS;
  }

  /** Returns whether a connection was attempted so recently that it may still be established. */
  public boolean isConnecting(long nowMs) {
    return !established && attempts > 0 && nowMs - attemptedAtMs < CONNECT_WAIT_MS;
  }
}
