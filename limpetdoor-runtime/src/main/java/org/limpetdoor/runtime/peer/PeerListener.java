package org.limpetdoor.runtime.peer;

import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/** Listener for events on links. Methods are called on traffic threads and must not block. */
public interface PeerListener {
  /** Called when a link has been authenticated. */
  void linkUp(PeerIdentity peer);

  /** Called when an authenticated link has ended. */
  void linkDown(InstanceId peer, LinkError error);

  /** Called when dialing a peer or the handshake has failed. */
  void linkFailed(String address, LinkError error);

  /**
   * Called when a message has been received.
   *
   * @return false if the message is malformed, which closes the link
   */
  boolean messageReceived(InstanceId peer, byte[] payload);
}
