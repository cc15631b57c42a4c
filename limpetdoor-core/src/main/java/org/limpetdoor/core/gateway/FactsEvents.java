package org.limpetdoor.core.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.Timed;
import org.limpetdoor.core.Transition;
import org.limpetdoor.core.effect.Effect;
import org.limpetdoor.core.effect.FollowStore;
import org.limpetdoor.core.effect.SendToPeer;
import org.limpetdoor.core.event.InstancesListed;
import org.limpetdoor.core.event.RoutesRead;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.membership.ListedInstance;
import org.limpetdoor.core.membership.Membership.Member;
import org.limpetdoor.core.membership.MembershipEvents;
import org.limpetdoor.core.membership.PeerMessage;
import org.limpetdoor.core.membership.PeerMessage.DigestTimes;
import org.limpetdoor.core.membership.PeerMessage.EnginesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.FactsRequested;
import org.limpetdoor.core.membership.PeerMessage.InstancesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.LoadDigest;
import org.limpetdoor.core.membership.PeerMessage.RoutesPassedOn;
import org.limpetdoor.core.membership.PeerMessage.StoreFacts;

/**
 * Decides which instances read the store, and passes on what they read. Hubs read it for their
 * spokes. A spoke whose hub does not have recent facts reads the store itself, and a hub that the
 * store does not answer takes the facts of another hub.
 */
public final class FactsEvents {
  /**
   * Number of reads by a hub of a large fleet for each read that an instance would make for itself.
   * What a hub has read reaches its spokes one step later.
   */
  private static final int HUB_READS_PER_OWN_READ = 2;

  /**
   * Part of the age from which spokes read the store themselves, at which their hub requests the
   * facts of another one.
   */
  private static final int REQUEST_AGE_DIVISOR = 2;

  private FactsEvents() {}

  /** Starts or stops reading the store, and requests later facts that another hub has. */
  static Transition<NodeState, Effect> tick(NodeState node) {
    return followIfNeeded(node).then(FactsEvents::requestIfBehind);
  }

  /** Applies what a digest says about the facts of its sender. */
  static Transition<NodeState, Effect> digestReceived(
      NodeState node, InstanceId peer, LoadDigest digest) {
    GatewayState state = node.gateway();
    if (!state.fleet().isHub()) {
      // A spoke that does not read the store knows only from its hub whether the store answers.
      boolean reachable = digest.facts().storeReachable();
      StoreView store =
          state.store().followed()
              ? state.store()
              : state.store().withContact(reachable, node.nowMs());
      NodeState next =
          node.withGateway(state.withStore(store.withFactsAsOfMs(asOfMs(node, digest))));
      return isBehind(next, digest.facts()) ? request(next, peer, false) : Transition.of(next);
    }
    return Transition.of(
        node.withGateway(state.withStore(state.store().withFactsAsOfMs(asOfMs(node, digest)))));
  }

  /**
   * Returns the time as of which this instance has the facts of a digest's sender, or 0 if it lacks
   * some of them or they are of an earlier era. The digest was sent after the receiver's time that
   * it echoes.
   */
  private static long asOfMs(NodeState node, LoadDigest digest) {
    DigestTimes times = digest.times();
    boolean outdated = digest.facts().listPosition().era() < node.gateway().store().era();
    boolean known = times.echoedAtMs() > 0 && !outdated && !isBehind(node, digest.facts());
    return known ? times.echoedAtMs() - digest.facts().ageMs() : 0;
  }

  private static boolean isBehind(NodeState node, StoreFacts facts) {
    GatewayState state = node.gateway();
    return facts.configurationVersion() > state.version()
        || facts.listPosition().isAfter(state.store().listPosition());
  }

  /** Requests facts of a peer, unless a request is still being answered. */
  static Transition<NodeState, Effect> request(
      NodeState node, InstanceId peer, boolean withInstances) {
    GatewayState state = node.gateway();
    if (!withInstances && !state.store().requestDue(node.nowMs())) {
      return Transition.of(node);
    }
    return Transition.of(
        node.withGateway(state.withStore(state.store().withRequestedAtMs(node.nowMs()))),
        new SendToPeer(
            peer,
            new FactsRequested(state.version(), state.store().listPosition(), withInstances)));
  }

  /** Answers a request with what the sender lacks. */
  static Transition<NodeState, Effect> requested(
      NodeState node, InstanceId peer, FactsRequested request) {
    GatewayState state = node.gateway();
    Transition<NodeState, Effect> result = Transition.of(node);
    if (state.version() > request.configurationVersion()) {
      result = result.with(new SendToPeer(peer, new RoutesPassedOn(state.table().orElseThrow())));
    }
    if (state.store().listPosition().isAfter(request.listPosition())) {
      result = result.with(new SendToPeer(peer, new EnginesPassedOn(completeList(node))));
    }
    if (request.withInstances()) {
      result = result.with(new SendToPeer(peer, instances(node)));
    }
    return result;
  }

  /** Applies facts that a peer has read. */
  static Transition<NodeState, Effect> received(
      NodeState node, InstanceId peer, PeerMessage message) {
    if (message instanceof RoutesPassedOn routes) {
      return StoreEvents.routesRead(
          node, new RoutesRead(node.nowMs(), routes.table(), RoutesRead.Source.PEER));
    }
    if (message instanceof EnginesPassedOn engines) {
      return engines.list().leavesGapAfter(node.gateway().store().listPosition())
          ? request(node, peer, false)
          : StoreEvents.applyList(node, engines.list(), RoutesRead.Source.PEER);
    }
    InstancesPassedOn passedOn = (InstancesPassedOn) message;
    return listed(node, passedOn.instances());
  }

  /** Passes the routes in force on to the spokes. */
  static Transition<NodeState, Effect> passOnRoutes(NodeState node) {
    return toSpokes(node, new RoutesPassedOn(node.gateway().table().orElseThrow()));
  }

  /** Passes changes of the list of engines on to the spokes. */
  static Transition<NodeState, Effect> passOnEngines(NodeState node, EngineListing list) {
    return toSpokes(node, new EnginesPassedOn(list));
  }

  /** Applies a list of instances and passes it on to the spokes. */
  public static Transition<NodeState, Effect> instancesListed(
      NodeState node, InstancesListed event) {
    return listed(node, event.instances()).then(next -> toSpokes(next, instances(next)));
  }

  private static Transition<NodeState, Effect> listed(
      NodeState node, List<ListedInstance> instances) {
    return MembershipEvents.listed(
        node, new InstancesListed(node.nowMs(), EraEvents.withUnlistedMembers(node, instances)));
  }

  private static Transition<NodeState, Effect> toSpokes(NodeState node, PeerMessage message) {
    Transition<NodeState, Effect> result = Transition.of(node);
    for (InstanceId peer : node.gateway().peers().names()) {
      boolean spoke = node.gateway().peers().isSpoke(peer);
      result = spoke ? result.with(new SendToPeer(peer, message)) : result;
    }
    return result;
  }

  private static InstancesPassedOn instances(NodeState node) {
    return new InstancesPassedOn(
        node.membership().members().values().stream().map(Member::entry).toList());
  }

  /**
   * Returns the complete list. After a restoration of the store, engines that are missing in it are
   * also named as removed, so that the receiver decides how long to keep them.
   */
  private static EngineListing completeList(NodeState node) {
    GatewayState state = node.gateway();
    Collection<EngineState> engines = state.engines().byId().values();
    boolean relisting = state.store().isRelisting(node.nowMs(), state.settings().relistMs());
    return new EngineListing(
        state.store().listPosition().era(),
        0,
        state.store().listPosition().offset(),
        engines.stream().map(EngineState::entry).toList(),
        engines.stream()
            .filter(engine -> relisting && engine.unlistedAtMs() != Timed.NEVER_MS)
            .map(engine -> engine.entry().id())
            .toList(),
        true);
  }

  private static Transition<NodeState, Effect> followIfNeeded(NodeState node) {
    GatewayState state = node.gateway();
    long intervalMs = intervalMs(node);
    if (intervalMs == state.store().intervalMs()) {
      return Transition.of(node);
    }
    return Transition.of(
        node.withGateway(state.withStore(state.store().withIntervalMs(intervalMs))),
        new FollowStore(intervalMs));
  }

  private static long intervalMs(NodeState node) {
    GatewayState state = node.gateway();
    long ownIntervalMs = state.settings().listIntervalMs();
    if (state.fleet().role().readsStore()) {
      boolean forSpokes = node.membership().layout().large();
      return forSpokes ? ownIntervalMs / HUB_READS_PER_OWN_READ : ownIntervalMs;
    }
    return hubHasRecentFacts(node) ? FollowStore.STOPPED : ownIntervalMs;
  }

  private static boolean hubHasRecentFacts(NodeState node) {
    GatewayState state = node.gateway();
    Optional<ReceivedDigest> last = state.fleet().hub().map(hub -> state.peers().byPeer().get(hub));
    return state.version() >= 0
        && state.store().listPosition().isKnown()
        && last.filter(
                digest ->
                    node.nowMs() - asOfMs(node, digest.digest()) < state.settings().factsMaxAgeMs())
            .isPresent();
  }

  /**
   * Requests the facts of another hub that has a later version, or a later list than an old one.
   */
  private static Transition<NodeState, Effect> requestIfBehind(NodeState node) {
    GatewayState state = node.gateway();
    if (!state.fleet().isHub()) {
      return Transition.of(node);
    }
    boolean outdated =
        state.factsAgeMs(node.nowMs()) > state.settings().factsMaxAgeMs() / REQUEST_AGE_DIVISOR;
    for (var entry : state.peers().byPeer().entrySet()) {
      StoreFacts facts = entry.getValue().digest().facts();
      boolean laterList = outdated && facts.listPosition().isAfter(state.store().listPosition());
      if (facts.configurationVersion() > state.version() || laterList) {
        return request(node, entry.getKey(), false);
      }
    }
    return Transition.of(node);
  }
}
