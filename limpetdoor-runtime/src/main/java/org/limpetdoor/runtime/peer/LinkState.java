package org.limpetdoor.runtime.peer;

import java.util.Optional;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;

/**
 * State of one link.
 *
 * @param role whether this side dialed or accepted
 * @param self identity of this instance
 * @param authenticator knowledge of the shared secret
 * @param ownNonce nonce of this side
 * @param session the session, once both sides have proved that they know the secret
 * @param peerNonce nonce of the other side, once received
 */
record LinkState(
    LinkRole role,
    PeerIdentity self,
    Authenticator authenticator,
    Nonce ownNonce,
    Optional<Session> session,
    Optional<Nonce> peerNonce) {

  /**
   * An authenticated session. The counters make each tag unique, so that a frame cannot be replayed
   * or reordered.
   *
   * @param peer the other side
   * @param sendKey key of the tags of sent frames
   * @param receiveKey key of the tags of received frames
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

  static LinkState opened(
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
