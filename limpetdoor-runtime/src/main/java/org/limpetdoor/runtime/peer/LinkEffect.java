package org.limpetdoor.runtime.peer;

import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/** What a link has to do. */
sealed interface LinkEffect {
  /** Sends a frame. */
  record SendFrame(byte[] bytes) implements LinkEffect {}

  /** Reports that the link is authenticated. */
  record Established(PeerIdentity peer) implements LinkEffect {}

  /** Hands a message on. */
  record Deliver(PeerIdentity peer, byte[] payload) implements LinkEffect {}

  /** Closes the connection. */
  record Close(LinkError error) implements LinkEffect {}
}
