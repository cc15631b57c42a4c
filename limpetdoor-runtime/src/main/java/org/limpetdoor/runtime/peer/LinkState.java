package org.limpetdoor.runtime.peer;

import java.util.Optional;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/**
 * The state of one link.
 *
 * @param role whether this side dialed or accepted the connection
 * @param self identity of this instance
 * @param authenticator authenticator with the shared secret as its key
 * @param ownNonce nonce of this side
 * @param session session; empty until both sides have proved that they have the shared secret
 * @param peerNonce nonce of the other side; empty until received
 */
record LinkState(
    LinkRole role,
    PeerIdentity self,
    Authenticator authenticator,
    Nonce ownNonce,
    Optional<Session> session,
    Optional<Nonce> peerNonce) {

  /**
   * An authenticated session. The frame counters are part of the tags, so that a replayed or
   * reordered frame is detected.
   *
   * @param peer identity of the other side
   * @param sendKey authenticator of sent frames
   * @param receiveKey authenticator of received frames
   * @param sentFrames number of frames sent
   * @param receivedFrames number of frames received
   */
  record Session(
      PeerIdentity peer,
      Authenticator sendKey,
      Authenticator receiveKey,
      long sentFrames,
      long receivedFrames) {
    Session withFrameSent() {
      return new Session(peer, sendKey, receiveKey, sentFrames + 1, receivedFrames);
    }

    Session withFrameReceived() {
      return new Session(peer, sendKey, receiveKey, sentFrames, receivedFrames + 1);
    }
  }

  static LinkState initial(
      LinkRole role, PeerIdentity self, Authenticator authenticator, Nonce ownNonce) {
    return new LinkState(role, self, authenticator, ownNonce, Optional.empty(), Optional.empty());
  }

  LinkState withPeerNonce(Nonce nonce) {
    return new LinkState(role, self, authenticator, ownNonce, session, Optional.of(nonce));
  }

  LinkState withSession(Session value) {
    return new LinkState(role, self, authenticator, ownNonce, Optional.of(value), peerNonce);
  }
}
