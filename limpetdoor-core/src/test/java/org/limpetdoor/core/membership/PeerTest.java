package org.limpetdoor.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.NodeReducer;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.ConnectPeer;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.core.event.InstanceStarted;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.PeerLinkDown;
import org.limpetdoor.core.event.PeerLinkUp;
import org.limpetdoor.core.event.PeerMessageReceived;
import org.limpetdoor.core.event.TimerFired;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;
import org.limpetdoor.core.membership.PeerMessage.Heartbeat;
import org.limpetdoor.core.membership.PeerMessage.Leaving;

class PeerTest {
  private static final InstanceId SELF = new InstanceId("instance-00");
  private static final InstanceId PEER = new InstanceId("instance-01");

  private final List<Effect> effects = new ArrayList<>();
  private long nowMs = 1_000;
  private NodeState state = NodeState.initial(new NodeState.Self(SELF, 1, new ZoneId("zone-0")));

  /**
   * Guards against a number of links that grows with the fleet, and against a partitioned fleet.
   */
  @Test
  void neighboursAreBoundedAndConnectTheFleet() {
    List<ListedInstance> fleet = fleet(120);
    Set<InstanceId> reachable = new HashSet<>(Set.of(SELF));
    Deque<ListedInstance> pending = new ArrayDeque<>(List.of(fleet.get(0)));
    while (!pending.isEmpty()) {
      List<InstanceId> chosen = Neighbours.choose(pending.remove(), fleet);
      assertThat(chosen).hasSize(Neighbours.LARGE_FLEET_LINKS);
      for (ListedInstance entry : fleet) {
        if (chosen.contains(entry.id()) && reachable.add(entry.id())) {
          pending.add(entry);
        }
      }
    }
    assertThat(reachable).hasSize(fleet.size());
  }

  /** Guards against links of an instance to itself, and against a pair without a link. */
  @Test
  void pairConnectsToEachOther() {
    List<ListedInstance> fleet = fleet(2);
    assertThat(Neighbours.choose(fleet.get(0), fleet)).containsExactly(PEER);
    assertThat(Neighbours.choose(fleet.get(1), fleet)).containsExactly(SELF);
  }

  /** Guards against a connection attempt each second to an unreachable peer. */
  @Test
  void failedConnectionsBackOff() {
    start(2);
    for (int i = 0; i < 60; i++) {
      tick();
      reduce(new PeerLinkDown(nowMs, PEER));
    }
    assertThat(count(new ConnectPeer(PEER, "127.0.0.1:1"))).isAtLeast(5);
    assertThat(count(new ConnectPeer(PEER, "127.0.0.1:1"))).isAtMost(9);
  }

  /**
   * Guards against a silent peer that stays alive, or a peer that stays down after a late message.
   */
  @Test
  void silentPeerIsSuspectThenDown() {
    start(2);
    reduce(new PeerLinkUp(nowMs, PEER));
    long upMs = nowMs;
    assertThat(statusAt(upMs + 1_999)).isEqualTo(PeerStatus.ALIVE);
    assertThat(statusAt(upMs + 2_000)).isEqualTo(PeerStatus.SUSPECT);
    assertThat(statusAt(upMs + 6_000)).isEqualTo(PeerStatus.DOWN);
    nowMs += 6_000;
    reduce(new PeerMessageReceived(nowMs, PEER, new Heartbeat(0, -1)));
    assertThat(statusAt(nowMs)).isEqualTo(PeerStatus.ALIVE);
    reduce(new PeerLinkDown(nowMs, PEER));
    assertThat(statusAt(nowMs)).isEqualTo(PeerStatus.DOWN);
  }

  /** Guards against a live instance that its peers consider silent. */
  @Test
  void heartbeatsAreSentEachSecondOnEstablishedLinksOnly() {
    start(2);
    tick();
    assertThat(count(new SendToPeer(PEER, new Heartbeat(0, -1)))).isEqualTo(0);
    reduce(new PeerLinkUp(nowMs, PEER));
    effects.clear();
    for (int i = 0; i < 10; i++) {
      tick();
    }
    assertThat(count(new SendToPeer(PEER, new Heartbeat(0, -1)))).isEqualTo(10);
  }

  /** Guards against work for a leaving instance that the lagging instance list still contains. */
  @Test
  void leavingPeerIsNoMemberWhileTheListLags() {
    start(3);
    reduce(new PeerLinkUp(nowMs, PEER));
    reduce(new PeerMessageReceived(nowMs, PEER, new Leaving()));
    reduce(new InstancesListed(nowMs, fleet(3)));
    assertThat(state.membership().members()).doesNotContainKey(PEER);
    reduce(new InstancesListed(nowMs, List.of()));
    reduce(new InstancesListed(nowMs, fleet(3)));
    assertThat(state.membership().members()).containsKey(PEER);
  }

  private PeerStatus statusAt(long atMs) {
    return state.membership().link(PEER).statusAt(atMs);
  }

  private long count(Effect effect) {
    return effects.stream().filter(effect::equals).count();
  }

  private void start(int instances) {
    reduce(new InstanceStarted(nowMs));
    reduce(new InstancesListed(nowMs, fleet(instances)));
  }

  private void tick() {
    nowMs += 1_000;
    reduce(new TimerFired(nowMs));
  }

  private void reduce(Event event) {
    Transition<NodeState, Effect> transition = new NodeReducer().reduce(state, event);
    state = transition.state();
    effects.addAll(transition.effects());
  }

  private static List<ListedInstance> fleet(int instances) {
    List<ListedInstance> entries = new ArrayList<>();
    for (int i = 0; i < instances; i++) {
      ZoneId zone = new ZoneId("zone-" + i % 6);
      String region = "region-" + i % 2;
      InstanceId id = new InstanceId(String.format("instance-%02d", i));
      entries.add(new ListedInstance(id, "127.0.0.1:1", zone, region, false));
    }
    return entries;
  }
}
