package org.limpetdoor.runtime.peer;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.format.peer.HandshakeFrame.Nonce;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;
import org.limpetdoor.runtime.peer.LinkEffect.CloseLink;
import org.limpetdoor.runtime.peer.LinkEffect.DeliverMessage;
import org.limpetdoor.runtime.peer.LinkEffect.ReportEstablished;
import org.limpetdoor.runtime.peer.LinkEffect.SendFrame;
import org.limpetdoor.runtime.peer.LinkEvent.ConnectionOpened;
import org.limpetdoor.runtime.peer.LinkEvent.FrameReceived;
import org.limpetdoor.runtime.peer.LinkEvent.MessageQueued;

class LinkReducerTest {
  private static final byte[] SECRET = "0123456789abcdef".getBytes(StandardCharsets.UTF_8);
  private static final byte[] OTHER_SECRET = "fedcba9876543210".getBytes(StandardCharsets.UTF_8);
  private static final byte[] MESSAGE = "message".getBytes(StandardCharsets.UTF_8);

  private final LinkReducer reducer = new LinkReducer();

  /** Guards against a handshake that fails or establishes a link with wrong identities. */
  @Test
  void sameSecretEstablishesLink() {
    LinkEnds ends = handshake(SECRET, SECRET);

    assertThat(ends.dialer().state().session().orElseThrow().peer()).isEqualTo(peer("b"));
    assertThat(ends.acceptor().state().session().orElseThrow().peer()).isEqualTo(peer("a"));
    assertThat(ends.dialer().effects()).containsExactly(new ReportEstablished(peer("b")));
  }

  /** Guards against accepting a process without the shared secret as a peer. */
  @Test
  void otherSecretIsRejected() {
    LinkEnds ends = handshake(OTHER_SECRET, SECRET);

    assertThat(ends.acceptor().effects())
        .containsExactly(new CloseLink(LinkError.AUTHENTICATION_FAILED));
    assertThat(ends.acceptor().state().session()).isEmpty();
  }

  /** Guards against replaying a recorded frame. */
  @Test
  void replayedFrameClosesLink() {
    LinkEnds ends = handshake(SECRET, SECRET);
    byte[] frame = frame(reducer.reduce(ends.dialer().state(), new MessageQueued(MESSAGE)));
    Transition<LinkState, LinkEffect> first =
        reducer.reduce(ends.acceptor().state(), new FrameReceived(frame));
    Transition<LinkState, LinkEffect> second =
        reducer.reduce(first.state(), new FrameReceived(frame));

    assertThat(((DeliverMessage) first.effects().get(0)).payload()).isEqualTo(MESSAGE);
    assertThat(second.effects()).containsExactly(new CloseLink(LinkError.AUTHENTICATION_FAILED));
  }

  /** Guards against accepting a frame that was modified in transit. */
  @Test
  void modifiedFrameClosesLink() {
    LinkEnds ends = handshake(SECRET, SECRET);
    byte[] frame = frame(reducer.reduce(ends.dialer().state(), new MessageQueued(MESSAGE)));
    frame[0] ^= 1;

    assertThat(reducer.reduce(ends.acceptor().state(), new FrameReceived(frame)).effects())
        .containsExactly(new CloseLink(LinkError.AUTHENTICATION_FAILED));
  }

  /** Guards against a link that stays open after bytes that are not a handshake frame. */
  @Test
  void malformedHandshakeClosesLink() {
    LinkState acceptor = initialState(LinkRole.ACCEPTOR, "b", SECRET);

    for (byte[] bytes :
        List.of(new byte[0], new byte[] {99}, "GET / HTTP/1.1".getBytes(StandardCharsets.UTF_8))) {
      assertThat(reducer.reduce(acceptor, new FrameReceived(bytes)).effects())
          .containsExactly(new CloseLink(LinkError.MALFORMED_FRAME));
    }
  }

  private record LinkEnds(
      Transition<LinkState, LinkEffect> dialer, Transition<LinkState, LinkEffect> acceptor) {}

  private LinkEnds handshake(byte[] dialerSecret, byte[] acceptorSecret) {
    Transition<LinkState, LinkEffect> acceptor =
        reducer.reduce(
            initialState(LinkRole.ACCEPTOR, "b", acceptorSecret), new ConnectionOpened());
    Transition<LinkState, LinkEffect> dialer =
        reducer.reduce(
            initialState(LinkRole.DIALER, "a", dialerSecret), new FrameReceived(frame(acceptor)));
    acceptor = reducer.reduce(acceptor.state(), new FrameReceived(frame(dialer)));
    if (acceptor.effects().get(0) instanceof SendFrame welcome) {
      dialer = reducer.reduce(dialer.state(), new FrameReceived(welcome.bytes()));
    }
    return new LinkEnds(dialer, acceptor);
  }

  private static byte[] frame(Transition<LinkState, LinkEffect> transition) {
    return ((SendFrame) transition.effects().get(0)).bytes();
  }

  private static LinkState initialState(LinkRole role, String name, byte[] secret) {
    Nonce nonce = Nonce.of(new byte[16]);
    return LinkState.initial(role, peer(name), new Authenticator(secret), nonce);
  }

  private static PeerIdentity peer(String name) {
    return new PeerIdentity(new InstanceId(name), 1, new ZoneId("zone-1"));
  }
}
