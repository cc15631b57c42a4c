package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage;

/**
 * A peer sent a message.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param peer the peer
 * @param message the message
 */
public record PeerMessageReceived(long atMs, InstanceId peer, PeerMessage message)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.PEER_MESSAGE_RECEIVED;
  }
}
