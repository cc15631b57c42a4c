package org.limpetdoor.gateway;

import java.util.function.Function;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.PeerLinkDown;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.format.peer.HandshakeFrame.PeerIdentity;
import org.limpetdoor.format.peer.MalformedFrameException;
import org.limpetdoor.format.peer.PeerMessageCodec;
import org.limpetdoor.runtime.peer.LinkError;
import org.limpetdoor.runtime.peer.PeerListener;
import org.limpetdoor.runtime.peer.PeerTransport;

/** Passes messages between the reducer and the links to peers. */
final class PeerLinks implements PeerListener {
  private final EngineAttempt.EventSink eventSink;
  private PeerTransport transport;

  PeerLinks(EngineAttempt.EventSink eventSink) {
    this.eventSink = eventSink;
  }

  /**
   * Sets the transport. Effects that are executed earlier are dropped, as there are no links yet.
   */
  void setTransport(PeerTransport peerTransport) {
    transport = peerTransport;
  }

  void connect(ConnectPeer effect) {
    if (transport != null) {
      transport.connect(ControlHttpClient.socketAddress(effect.address()));
    }
  }

  void send(SendToPeer effect) {
    if (transport != null) {
      transport.send(effect.peer(), PeerMessageCodec.encode(effect.message()));
    }
  }

  @Override
  public void linkUp(PeerIdentity peer) {
    submit(atMs -> new PeerLinkUp(atMs, peer.instance()));
  }

  @Override
  public void linkDown(InstanceId peer, LinkError error) {
    submit(atMs -> new PeerLinkDown(atMs, peer));
  }

  /**
   * Does nothing: the reducer retries connections on its own and needs no event for a failed one.
   */
  @Override
  public void linkFailed(String address, LinkError error) {}

  @Override
  public boolean messageReceived(InstanceId peer, byte[] payload) {
    try {
      PeerMessage message = PeerMessageCodec.decode(payload);
      submit(atMs -> new PeerMessageReceived(atMs, peer, message));
      return true;
    } catch (MalformedFrameException e) {
      return false;
    }
  }

  private void submit(Function<Long, Event> event) {
    eventSink.submit(event);
  }
}
