package org.limpetdoor.core.request;

import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.agreed.AgreedState;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;
import org.pcollections.PVector;
import org.pcollections.TreePSet;
import org.pcollections.TreePVector;

/**
 * Index of back ends by upstream and of upstreams by back end, so that no decision scans the whole
 * fleet. It is rebuilt when engines or services change; when the memory ledger changes, only the
 * models whose replicas changed are updated.
 *
 * @param engines engines that the index was computed from
 * @param services plain services that the index was computed from
 * @param serving engines of each model that the index was computed from
 * @param fleetShare share of the fleet's load that this instance serves, from 0 to 1
 * @param candidates back ends that this instance uses for each upstream
 * @param upstreams upstreams of each candidate back end
 */
record RoutingIndex(
    PMap<BackendId, Engine> engines,
    PMap<ServiceId, PlainService> services,
    PMap<ModelId, TreePSet<BackendId>> serving,
    double fleetShare,
    PMap<UpstreamId, Candidates> candidates,
    PMap<BackendId, PVector<UpstreamId>> upstreams) {
  static final RoutingIndex EMPTY = empty(Configuration.EMPTY, 1);

  /**
   * Back ends that this instance uses for one upstream.
   *
   * @param backends the back ends
   * @param fleetSlots total slots of all back ends of the upstream, used by this instance or not
   * @param slotShare share of the slots of each back end that this instance may fill, from 0 to 1
   */
  record Candidates(List<Candidate> backends, int fleetSlots, double slotShare) {
    static final Candidates NONE = new Candidates(List.of(), 0, 1);

    static Candidates of(List<Candidate> backends, int fleetSlots, double fleetShare) {
      int subsetSlots = backends.stream().mapToInt(c -> c.backend().slots()).sum();
      return new Candidates(
          backends, fleetSlots, Math.min(1, fleetShare * fleetSlots / subsetSlots));
    }

    /**
     * Returns the number of slots of a back end that this instance may fill, at least 1. Instances
     * see each other's requests only in reports, with a delay. If each filled all slots, work would
     * queue in the engines, which apply neither contracts nor objectives.
     */
    int slots(Backend backend) {
      return Math.max(1, (int) Math.ceil(backend.slots() * slotShare));
    }
  }

  Candidates candidates(UpstreamId upstream) {
    return candidates.getOrDefault(upstream, Candidates.NONE);
  }

  List<UpstreamId> upstreams(BackendId backend) {
    return upstreams.getOrDefault(backend, TreePVector.empty());
  }

  /**
   * Returns whether the index is up to date. It compares by identity, because the fold keeps the
   * map instances of unchanged parts.
   */
  boolean isCurrent(AgreedState agreed, double share) {
    return isFleetCurrent(agreed, share) && serving == agreed.ledger().replicas().serving();
  }

  static RoutingIndex of(NodeState.Self self, AgreedState agreed, double share) {
    return EMPTY.updatedFor(self, agreed, share);
  }

  /** Returns the index updated to the agreed state. */
  RoutingIndex updatedFor(NodeState.Self self, AgreedState agreed, double share) {
    RoutingIndex next = isFleetCurrent(agreed, share) ? this : ofServices(self, agreed, share);
    PMap<ModelId, TreePSet<BackendId>> currentServing = agreed.ledger().replicas().serving();
    Set<ModelId> models = new HashSet<>(next.serving.keySet());
    models.addAll(currentServing.keySet());
    for (ModelId model : models) {
      TreePSet<BackendId> replicas = currentServing.getOrDefault(model, TreePSet.empty());
      if (!replicas.equals(next.serving.get(model))) {
        List<Backend> backends = next.backends(replicas);
        next = next.withUpstream(self, new UpstreamId(false, model.value()), backends);
      }
    }
    return next.withServing(currentServing);
  }

  private boolean isFleetCurrent(AgreedState agreed, double share) {
    return engines == agreed.configuration().engines()
        && services == agreed.configuration().services()
        && fleetShare == share;
  }

  private static RoutingIndex ofServices(NodeState.Self self, AgreedState agreed, double share) {
    RoutingIndex next = empty(agreed.configuration(), share);
    for (PlainService service : next.services.values()) {
      UpstreamId upstream = new UpstreamId(true, service.id().value());
      next = next.withUpstream(self, upstream, List.copyOf(service.endpoints()));
    }
    return next;
  }

  private List<Backend> backends(TreePSet<BackendId> replicas) {
    return replicas.stream()
        .map(engines::get)
        .filter(Objects::nonNull)
        .<Backend>map(e -> e)
        .toList();
  }

  private RoutingIndex withUpstream(
      NodeState.Self self, UpstreamId upstream, List<Backend> backends) {
    List<Candidate> subset = BackendSubset.choose(self, backends, fleetShare);
    PMap<BackendId, PVector<UpstreamId>> byBackend = upstreams;
    for (Candidate candidate : candidates(upstream).backends()) {
      BackendId id = candidate.backend().id();
      PVector<UpstreamId> remaining = byBackend.get(id).minus(upstream);
      byBackend = remaining.isEmpty() ? byBackend.minus(id) : byBackend.plus(id, remaining);
    }
    for (Candidate candidate : subset) {
      BackendId id = candidate.backend().id();
      byBackend =
          byBackend.plus(id, byBackend.getOrDefault(id, TreePVector.empty()).plus(upstream));
    }
    int slots = backends.stream().mapToInt(Backend::slots).sum();
    PMap<UpstreamId, Candidates> byUpstream =
        subset.isEmpty()
            ? candidates.minus(upstream)
            : candidates.plus(upstream, Candidates.of(subset, slots, fleetShare));
    return new RoutingIndex(engines, services, serving, fleetShare, byUpstream, byBackend);
  }

  private RoutingIndex withServing(PMap<ModelId, TreePSet<BackendId>> value) {
    return new RoutingIndex(engines, services, value, fleetShare, candidates, upstreams);
  }

  private static RoutingIndex empty(Configuration configuration, double share) {
    return new RoutingIndex(
        configuration.engines(),
        configuration.services(),
        HashTreePMap.empty(),
        share,
        HashTreePMap.empty(),
        HashTreePMap.empty());
  }
}
