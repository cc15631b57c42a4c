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

/** Reduces what happens on links to peers. */
public final class PeerEvents {
  private PeerEvents() {}

  /** A link is established, by either side. */
  public static Transition<NodeState, Effect> linkUp(NodeState state, PeerLinkUp event) {
    PeerLink link = state.membership().link(event.peer()).up(state.nowMs());
    NodeState next = withLink(state, event.peer(), link);
    return Transition.of(next, new SendToPeer(event.peer(), heartbeat(state)));
  }

  /** A link has ended or could not be established. */
  public static Transition<NodeState, Effect> linkDown(NodeState state, PeerLinkDown event) {
    PeerLink link = state.membership().link(event.peer()).down(state.nowMs());
    return Transition.of(withLink(state, event.peer(), link));
  }

  /** A message arrived. Messages that arrive after the end of their link are dropped. */
  public static Transition<NodeState, Effect> received(NodeState state, PeerMessageReceived event) {
    PeerLink link = state.membership().link(event.peer());
    if (!link.established()) {
      return Transition.of(state);
    }
    NodeState heard = withLink(state, event.peer(), link.heard(state.nowMs()));
    if (event.message() instanceof Leaving) {
      return Transition.of(
          Digests.peerLeft(
              heard.withMembership(heard.membership().withLeaving(event.peer())), event.peer()));
    }
    return Digests.received(heard, event.peer(), event.message());
  }

  /** Sends heartbeats on established links and opens missing ones. It is called each second. */
  public static Transition<NodeState, Effect> tick(NodeState state) {
    Transition<NodeState, Effect> result = Transition.of(state);
    for (Map.Entry<InstanceId, PeerLink> entry : state.membership().links().entrySet()) {
      if (entry.getValue().established()) {
        result = result.with(new SendToPeer(entry.getKey(), heartbeat(state)));
      }
    }
    return result.then(PeerEvents::connect);
  }

  /** Opens missing links. */
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
    if (member == null || !link.isDue(state.nowMs())) {
      return Transition.of(state);
    }
    NodeState tried = withLink(state, peer, link.tried(state.nowMs()));
    return Transition.of(tried, new ConnectPeer(peer, member.entry().address()));
  }

  private static Heartbeat heartbeat(NodeState state) {
    return new Heartbeat(state.agreed().nextOffset(), state.agreed().limitEpoch().epoch());
  }

  private static NodeState withLink(NodeState state, InstanceId peer, PeerLink link) {
    return state.withMembership(state.membership().withLink(peer, link));
  }
}
