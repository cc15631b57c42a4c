package org.limpetdoor.core.membership;

/** What the silence of a peer with an established link says about it. */
public enum PeerStatus {
  /** It was heard a short time ago. */
  ALIVE(0),
  /** At least one heartbeat is missing. */
  SUSPECT(2_000),
  /** It is taken to have failed, or cannot be reached. */
  DOWN(6_000);

  private final long afterMs;

  PeerStatus(long afterMs) {
    this.afterMs = afterMs;
  }

  /** Returns the status of a peer that has been silent for a time, in milliseconds. */
  public static PeerStatus afterSilence(long silentMs) {
    PeerStatus result = ALIVE;
    for (PeerStatus status : values()) {
      result = silentMs >= status.afterMs ? status : result;
    }
    return result;
  }
}
