package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.InstanceId;

/**
 * A link to a peer is established and authenticated.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param peer the peer
 */
public record PeerLinkUp(long atMs, InstanceId peer) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.PEER_LINK_UP;
  }
}
