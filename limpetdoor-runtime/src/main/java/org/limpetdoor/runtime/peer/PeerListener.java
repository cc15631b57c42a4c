package org.limpetdoor.runtime.peer;

import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/** Is told what happens on links. Methods are called on traffic threads and return at once. */
public interface PeerListener {
  /** A link is authenticated. */
  void linkUp(PeerIdentity peer);

  /** An authenticated link ended. */
  void linkDown(InstanceId peer, LinkError error);

  /** Dialing a peer failed, or the handshake did. */
  void linkFailed(String address, LinkError error);

  /**
   * A message arrived.
   *
   * @return false if the message is malformed, which ends the link
   */
  boolean messageReceived(InstanceId peer, byte[] payload);
}
