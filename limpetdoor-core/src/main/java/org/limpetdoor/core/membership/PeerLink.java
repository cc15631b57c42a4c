package org.limpetdoor.core.membership;

/**
 * The link to a peer.
 *
 * @param established whether messages can be sent
 * @param heardMs when the link came up or a message arrived last, in monotonic milliseconds
 * @param attempts connections tried since the link was last established
 * @param retryMs earliest time of the next try, in monotonic milliseconds
 */
public record PeerLink(boolean established, long heardMs, int attempts, long retryMs) {
  /** A link that was never tried. */
  public static final PeerLink NONE = new PeerLink(false, 0, 0, 0);

  /** Wait after the first failed try, in milliseconds; doubled for each further one. */
  static final long FIRST_BACKOFF_MS = 1_000;

  private static final int MAX_DOUBLINGS = 4;

  /** Returns what is known of the peer. A peer without a link is down. */
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
