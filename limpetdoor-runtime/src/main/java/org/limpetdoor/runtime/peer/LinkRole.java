package org.limpetdoor.runtime.peer;

import java.util.List;
import org.limpetdoor.core.Transition;
import org.limpetdoor.format.peer.HandshakeCodec;
import org.limpetdoor.format.peer.HandshakeFrame;
import org.limpetdoor.format.peer.HandshakeFrame.Challenge;
import org.limpetdoor.format.peer.HandshakeFrame.Hello;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;
import org.limpetdoor.format.peer.HandshakeFrame.Proof;
import org.limpetdoor.format.peer.HandshakeFrame.Welcome;
import org.limpetdoor.runtime.peer.LinkEffect.CloseLink;
import org.limpetdoor.runtime.peer.LinkEffect.ReportEstablished;
import org.limpetdoor.runtime.peer.LinkEffect.SendFrame;
import org.limpetdoor.runtime.peer.LinkState.Session;

/**
 * The two sides of a handshake. The names of the constants are part of the authenticated text, so
 * they must not change.
 */
enum LinkRole {
  /** The side that opened the connection. */
  DIALER {
    @Override
    Transition<LinkState, LinkEffect> connectionOpened(LinkState state) {
      return Transition.of(state);
    }

    @Override
    Transition<LinkState, LinkEffect> handshakeFrameReceived(
        LinkState state, HandshakeFrame frame) {
      if (frame instanceof Challenge challenge && state.peerNonce().isEmpty()) {
        return answerChallenge(state, challenge);
      }
      if (frame instanceof Welcome welcome && state.peerNonce().isPresent()) {
        return checkWelcome(state, welcome);
      }
      return close(state, LinkError.MALFORMED_FRAME);
    }

    private Transition<LinkState, LinkEffect> answerChallenge(
        LinkState state, Challenge challenge) {
      if (challenge.version() != HandshakeFrame.PROTOCOL_VERSION) {
        return close(state, LinkError.VERSION_MISMATCH);
      }
      Proof proof =
          state.authenticator().proof(this, state.self(), state.ownNonce(), challenge.nonce());
      Hello hello =
          new Hello(HandshakeFrame.PROTOCOL_VERSION, state.self(), state.ownNonce(), proof);
      return Transition.of(
          state.withPeerNonce(challenge.nonce()), new SendFrame(HandshakeCodec.encode(hello)));
    }

    private Transition<LinkState, LinkEffect> checkWelcome(LinkState state, Welcome welcome) {
      Nonce acceptorNonce = state.peerNonce().orElseThrow();
      Proof expected =
          state.authenticator().proof(ACCEPTOR, welcome.peer(), state.ownNonce(), acceptorNonce);
      if (!Authenticator.matches(expected, welcome.proof())) {
        return close(state, LinkError.AUTHENTICATION_FAILED);
      }
      return establish(state, welcome.peer(), state.ownNonce(), acceptorNonce);
    }
  },
  /** The side that accepted the connection. */
  ACCEPTOR {
    @Override
    Transition<LinkState, LinkEffect> connectionOpened(LinkState state) {
      Challenge challenge = new Challenge(HandshakeFrame.PROTOCOL_VERSION, state.ownNonce());
      return Transition.of(state, new SendFrame(HandshakeCodec.encode(challenge)));
    }

    @Override
    Transition<LinkState, LinkEffect> handshakeFrameReceived(
        LinkState state, HandshakeFrame frame) {
      if (!(frame instanceof Hello hello)) {
        return close(state, LinkError.MALFORMED_FRAME);
      }
      if (hello.version() != HandshakeFrame.PROTOCOL_VERSION) {
        return close(state, LinkError.VERSION_MISMATCH);
      }
      Proof expected =
          state.authenticator().proof(DIALER, hello.peer(), hello.nonce(), state.ownNonce());
      if (!Authenticator.matches(expected, hello.proof())) {
        return close(state, LinkError.AUTHENTICATION_FAILED);
      }
      Proof proof =
          state.authenticator().proof(this, state.self(), hello.nonce(), state.ownNonce());
      SendFrame welcome = new SendFrame(HandshakeCodec.encode(new Welcome(state.self(), proof)));
      Transition<LinkState, LinkEffect> established =
          establish(
              state.withPeerNonce(hello.nonce()), hello.peer(), hello.nonce(), state.ownNonce());
      List<LinkEffect> effects = List.of(welcome, established.effects().get(0));
      return new Transition<>(established.state(), effects);
    }
  };

  /** Handles the opening of the connection. */
  abstract Transition<LinkState, LinkEffect> connectionOpened(LinkState state);

  /** Handles a handshake frame. */
  abstract Transition<LinkState, LinkEffect> handshakeFrameReceived(
      LinkState state, HandshakeFrame frame);

  LinkRole opposite() {
    return this == DIALER ? ACCEPTOR : DIALER;
  }

  Transition<LinkState, LinkEffect> establish(
      LinkState state, PeerIdentity peer, Nonce dialerNonce, Nonce acceptorNonce) {
    Authenticator authenticator = state.authenticator();
    Session session =
        new Session(
            peer,
            authenticator.sessionKey(this, dialerNonce, acceptorNonce),
            authenticator.sessionKey(opposite(), dialerNonce, acceptorNonce),
            0,
            0);
    return Transition.of(state.withSession(session), new ReportEstablished(peer));
  }

  static Transition<LinkState, LinkEffect> close(LinkState state, LinkError error) {
    return Transition.of(state, new CloseLink(error));
  }
}
