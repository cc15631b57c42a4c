package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.decision.GatewayDecision;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.RecordDecision;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.DigestScope;
import org.limpetdoor.core.membership.FleetLayout;
import org.limpetdoor.core.membership.FleetRole;
import org.limpetdoor.core.membership.Membership;
import org.limpetdoor.core.membership.PeerLink;
import org.pcollections.HashTreePSet;
import org.pcollections.PSet;

/**
 * Chooses the role of this instance and the peers it exchanges messages with, and opens the links
 * to them. The choice needs no agreement: an instance is a hub as soon as another one sends it
 * digests as its spoke.
 */
final class FleetEvents {
  private FleetEvents() {}

  /**
   * A choice of peers.
   *
   * @param view role and peers
   * @param dialed peers to which a link has to be opened
   */
  private record Choice(FleetView view, List<InstanceId> dialed) {}

  /** Chooses role and peers again, and opens the missing links. */
  static Transition<NodeState, Effect> tick(NodeState node) {
    Choice choice = isHub(node) ? asHub(node) : asSpoke(node);
    FleetView previous = node.gateway().fleet();
    FleetView next = choice.view();
    GatewayState state = node.gateway().withFleet(next);
    boolean roleChanged = previous.role() != next.role();
    Transition<NodeState, Effect> result =
        Transition.of(
            node.withGateway(
                state.withPeers(
                    counted(state.peers().withoutOutdated(node.nowMs()), next.role()),
                    node.nowMs())));
    if (roleChanged || !previous.hub().equals(next.hub())) {
      result = result.with(new RecordDecision(GatewayDecision.fleetRole(next.role(), next.hub())));
    }
    if (next.hub().isPresent() && !previous.hub().equals(next.hub())) {
      InstanceId hub = next.hub().get();
      result = result.then(chosen -> FactsEvents.request(chosen, hub, true));
    }
    for (InstanceId peer : choice.dialed()) {
      result = result.then(current -> connect(current, peer));
    }
    return result;
  }

  private static boolean isHub(NodeState node) {
    GatewayState state = node.gateway();
    FleetLayout layout = node.membership().layout();
    boolean byLayout = layout.size() == 0 || layout.hubs().contains(node.self().id());
    return byLayout || state.peers().hasSpokes() || state.duty().held();
  }

  /** Chooses the hubs of each zone; candidates that are unreachable are replaced by the next. */
  private static Choice asHub(NodeState node) {
    Membership membership = node.membership();
    FleetLayout layout = membership.layout();
    List<InstanceId> dialed = new ArrayList<>();
    PSet<InstanceId> hubs = HashTreePSet.empty();
    for (var zone : layout.candidates().entrySet()) {
      int missing = missingHubs(node, layout, zone.getKey());
      for (InstanceId candidate : zone.getValue()) {
        PeerLink link = membership.link(candidate);
        boolean due = link.isConnectionDue(node.nowMs());
        boolean possible = due || link.isUsable(node.nowMs()) || link.isConnecting(node.nowMs());
        if (missing <= 0) {
          break;
        }
        if (candidate.equals(node.self().id()) || !(possible || link.established())) {
          continue;
        }
        // A peer on a silent link may only have had no reason to send, so it gets digests too.
        hubs = hubs.plus(candidate);
        missing -= possible ? 1 : 0;
        if (due) {
          dialed.add(candidate);
        }
      }
    }
    FleetView view = node.gateway().fleet().withPeers(FleetRole.HUB, Optional.empty(), hubs);
    return new Choice(view, dialed);
  }

  private static int missingHubs(NodeState node, FleetLayout layout, ZoneId zone) {
    boolean isOneOfThem =
        zone.equals(node.self().zone()) && layout.hubs().contains(node.self().id());
    return layout.hubCount(zone) - (isOneOfThem ? 1 : 0);
  }

  /**
   * Chooses the first usable hub in the order of preference. A preferred one that has become
   * unreachable is dialed again beside it. If no candidate before this instance is reachable, the
   * instance becomes a hub itself.
   */
  private static Choice asSpoke(NodeState node) {
    Membership membership = node.membership();
    long nowMs = node.nowMs();
    List<InstanceId> dialed = new ArrayList<>();
    boolean pending = false;
    for (InstanceId candidate : membership.layout().preferred()) {
      if (candidate.equals(node.self().id())) {
        return pending ? spoke(node, Optional.empty(), dialed) : asHub(node);
      }
      PeerLink link = membership.link(candidate);
      if (link.isUsable(nowMs)) {
        return spoke(node, Optional.of(candidate), dialed);
      }
      boolean due = link.isConnectionDue(nowMs);
      if (due && !pending) {
        dialed.add(candidate);
      }
      pending = pending || due || link.isConnecting(nowMs);
    }
    return spoke(node, Optional.empty(), dialed);
  }

  private static Choice spoke(NodeState node, Optional<InstanceId> hub, List<InstanceId> dialed) {
    FleetView view = node.gateway().fleet().withPeers(FleetRole.SPOKE, hub, HashTreePSet.empty());
    return new Choice(view, dialed);
  }

  /** Drops digests that an instance in the given role does not count. */
  private static PeerLoads counted(PeerLoads peers, FleetRole role) {
    PeerLoads result = peers;
    for (var entry : peers.byPeer().entrySet()) {
      DigestScope scope = entry.getValue().digest().scope();
      result = scope.countsFor(role) ? result : result.without(entry.getKey());
    }
    return result;
  }

  private static Transition<NodeState, Effect> connect(NodeState node, InstanceId peer) {
    Membership membership = node.membership();
    Membership.Member member = membership.members().get(peer);
    if (member == null) {
      return Transition.of(node);
    }
    PeerLink link = membership.link(peer).withConnectionAttempt(node.nowMs());
    return Transition.of(
        node.withMembership(membership.withLink(peer, link)),
        new ConnectPeer(peer, member.entry().address()));
  }
}
