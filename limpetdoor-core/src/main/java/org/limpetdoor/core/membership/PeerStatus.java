package org.limpetdoor.core.membership;

/** Status of a peer with an established link, derived from the time since its last message. */
public enum PeerStatus {
  /** A message was received recently. */
  ALIVE(0),
  /** At least one heartbeat is missing. */
  SUSPECT(2_000),
  /** The peer is considered failed, or has no established link. */
  DOWN(6_000);

  private final long minSilenceMs;

  PeerStatus(long minSilenceMs) {
    this.minSilenceMs = minSilenceMs;
  }

  /** Returns the status of a peer that has been silent for a time, in milliseconds. */
  public static PeerStatus afterSilence(long silentMs) {
    PeerStatus result = ALIVE;
    for (PeerStatus status : values()) {
      result = silentMs >= status.minSilenceMs ? status : result;
    }
    return result;
  }
}
