package org.limpetdoor.core.membership;

/**
 * The link to a peer.
 *
 * @param established whether messages can be sent
 * @param heardMs time at which the link was established or the last message arrived, in monotonic
 *     milliseconds
 * @param attempts connection attempts since the link was last established
 * @param retryMs earliest time of the next connection attempt, in monotonic milliseconds
 */
public record PeerLink(boolean established, long heardMs, int attempts, long retryMs) {
  /** A link without any connection attempt. */
  public static final PeerLink NONE = new PeerLink(false, 0, 0, 0);

  /** Delay after the first failed attempt, in milliseconds; doubled for each further one. */
  static final long FIRST_BACKOFF_MS = 1_000;

  private static final int MAX_DOUBLINGS = 4;

  /** Returns the status of the peer. A peer without an established link is down. */
  public PeerStatus statusAt(long nowMs) {
    return established ? PeerStatus.afterSilence(nowMs - heardMs) : PeerStatus.DOWN;
  }

  PeerLink heard(long nowMs) {
    return new PeerLink(established, nowMs, attempts, retryMs);
  }

  PeerLink up(long nowMs) {
    return new PeerLink(true, nowMs, 0, nowMs);
  }

  PeerLink down(long nowMs) {
    return new PeerLink(false, heardMs, attempts, Math.max(retryMs, nowMs + FIRST_BACKOFF_MS));
  }

  PeerLink tried(long nowMs) {
    long backoffMs = FIRST_BACKOFF_MS << Math.min(attempts, MAX_DOUBLINGS);
    return new PeerLink(established, heardMs, attempts + 1, nowMs + backoffMs);
  }

  boolean isDue(long nowMs) {
    return !established && nowMs >= retryMs;
  }
}
