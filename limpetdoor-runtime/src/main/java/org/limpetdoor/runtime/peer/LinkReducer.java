package org.limpetdoor.runtime.peer;

import org.limpetdoor.core.Reducer;
import org.limpetdoor.core.Transition;
import org.limpetdoor.format.peer.HandshakeCodec;
import org.limpetdoor.format.peer.MalformedFrameException;
import org.limpetdoor.runtime.peer.LinkEffect.DeliverMessage;
import org.limpetdoor.runtime.peer.LinkEffect.SendFrame;
import org.limpetdoor.runtime.peer.LinkEvent.FrameReceived;
import org.limpetdoor.runtime.peer.LinkEvent.MessageQueued;
import org.limpetdoor.runtime.peer.LinkState.Session;

/** Reducer of one link: first the handshake, then messages that each have a tag. */
final class LinkReducer implements Reducer<LinkState, LinkEvent, LinkEffect> {
  @Override
  public Transition<LinkState, LinkEffect> reduce(LinkState state, LinkEvent event) {
    if (event instanceof FrameReceived received) {
      return receive(state, received.bytes());
    }
    if (event instanceof MessageQueued queued) {
      return send(state, queued.payload());
    }
    return state.role().connectionOpened(state);
  }

  private static Transition<LinkState, LinkEffect> receive(LinkState state, byte[] frame) {
    if (state.session().isEmpty()) {
      return handshake(state, frame);
    }
    Session session = state.session().get();
    byte[] payload = session.receiveKey().verifyAndRemoveTag(frame, session.receivedFrames());
    if (payload == null) {
      return LinkRole.close(state, LinkError.AUTHENTICATION_FAILED);
    }
    return Transition.of(
        state.withSession(session.withFrameReceived()),
        new DeliverMessage(session.peer(), payload));
  }

  private static Transition<LinkState, LinkEffect> handshake(LinkState state, byte[] frame) {
    try {
      return state.role().handshakeFrameReceived(state, HandshakeCodec.decode(frame));
    } catch (MalformedFrameException e) {
      return LinkRole.close(state, LinkError.MALFORMED_FRAME);
    }
  }

  /**
   * Sends a message. A message that is queued before the link is established is dropped, because
   * the reducer of the control state sends again when the link is up.
   */
  private static Transition<LinkState, LinkEffect> send(LinkState state, byte[] payload) {
    if (state.session().isEmpty()) {
      return Transition.of(state);
    }
    Session session = state.session().get();
    byte[] frame = session.sendKey().appendTag(payload, session.sentFrames());
    return Transition.of(state.withSession(session.withFrameSent()), new SendFrame(frame));
  }
}
