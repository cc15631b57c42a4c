package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.InstanceId;

/**
 * A link to a peer has ended, or an attempt to connect to it has failed.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param peer the peer
 */
public record PeerLinkDown(long atMs, InstanceId peer) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.PEER_LINK_DOWN;
  }
}
