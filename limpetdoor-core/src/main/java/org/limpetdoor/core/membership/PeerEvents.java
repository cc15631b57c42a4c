package org.limpetdoor.core.membership;

import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.PeerLinkDown;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.gateway.Digests;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.Membership.Member;
import org.limpetdoor.core.membership.PeerMessage.Heartbeat;
import org.limpetdoor.core.membership.PeerMessage.Leaving;

/** Reduces events of links to peers. */
public final class PeerEvents {
  private PeerEvents() {}

  /** Records that a link was established by either side, and sends the first heartbeat. */
  public static Transition<NodeState, Effect> linkUp(NodeState state, PeerLinkUp event) {
    PeerLink link = state.membership().link(event.peer()).withEstablished(state.nowMs());
    NodeState next = withLink(state, event.peer(), link);
    return Transition.of(next, new SendToPeer(event.peer(), heartbeat(state)));
  }

  /** Records that a link has ended or could not be established. */
  public static Transition<NodeState, Effect> linkDown(NodeState state, PeerLinkDown event) {
    PeerLink link = state.membership().link(event.peer()).withClosed(state.nowMs());
    return Transition.of(withLink(state, event.peer(), link));
  }

  /** Processes a message of a peer. A message that arrives after the end of its link is dropped. */
  public static Transition<NodeState, Effect> received(NodeState state, PeerMessageReceived event) {
    PeerLink link = state.membership().link(event.peer());
    if (!link.established()) {
      return Transition.of(state);
    }
    NodeState next = withLink(state, event.peer(), link.withMessageReceived(state.nowMs()));
    if (event.message() instanceof Leaving) {
      return Transition.of(
          Digests.peerLeft(
              next.withMembership(next.membership().withLeaving(event.peer())), event.peer()));
    }
    return Digests.received(next, event.peer(), event.message());
  }

  /** Sends heartbeats on established links and opens missing links. It is called once a second. */
  public static Transition<NodeState, Effect> tick(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (Map.Entry<InstanceId, PeerLink> entry : state.membership().links().entrySet()) {
      if (entry.getValue().established()) {
        result = result.with(new SendToPeer(entry.getKey(), heartbeat(state)));
      }
    }
    return result.then(PeerEvents::connect);
  }

  /** Opens missing links to neighbours for which a connection attempt is due. */
  public static Transition<NodeState, Effect> connect(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (InstanceId peer : state.membership().neighbours()) {
      result = result.then(current -> connectIfDue(current, peer));
    }
    return result;
  }

  private static Transition<NodeState, Effect> connectIfDue(NodeState state, InstanceId peer) {
    Member member = state.membership().members().get(peer);
    PeerLink link = state.membership().link(peer);
    if (member == null || !link.isConnectionDue(state.nowMs())) {
      return Transition.of(state);
    }
    NodeState next = withLink(state, peer, link.withConnectionAttempt(state.nowMs()));
    return Transition.of(next, new ConnectPeer(peer, member.entry().address()));
  }

  private static Heartbeat heartbeat(NodeState state) {
    return new Heartbeat(state.agreed().nextOffset(), state.agreed().limitEpoch().epoch());
  }

  private static NodeState withLink(NodeState state, InstanceId peer, PeerLink link) {
    return state.withMembership(state.membership().withLink(peer, link));
  }
}
