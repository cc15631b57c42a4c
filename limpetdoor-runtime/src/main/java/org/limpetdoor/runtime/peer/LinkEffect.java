package org.limpetdoor.runtime.peer;

import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/** The effects of {@link LinkReducer}. */
sealed interface LinkEffect {
  /** Sends a frame. */
  record SendFrame(byte[] bytes) implements LinkEffect {}

  /** Reports that the link is authenticated. */
  record ReportEstablished(PeerIdentity peer) implements LinkEffect {}

  /** Delivers a received message to the listener. */
  record DeliverMessage(PeerIdentity peer, byte[] payload) implements LinkEffect {}

  /** Closes the connection. */
  record CloseLink(LinkError error) implements LinkEffect {}
}
