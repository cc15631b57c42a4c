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
 * Back ends by upstream and the reverse, so that no decision looks at the whole fleet. It is
 * computed when engines or services change; when the memory ledger changes, only the models whose
 * replicas changed are computed again.
 *
 * @param engines engines that it was computed from
 * @param services plain services that it was computed from
 * @param serving engines of each model that it was computed from
 * @param fleetPart part of the fleet's load that this instance carries
 * @param candidates back ends that this instance uses for each upstream
 * @param upstreams upstreams of each of these back ends
 */
record RoutingIndex(
    PMap<BackendId, Engine> engines,
    PMap<ServiceId, PlainService> services,
    PMap<ModelId, TreePSet<BackendId>> serving,
    double fleetPart,
    PMap<UpstreamId, Candidates> candidates,
    PMap<BackendId, PVector<UpstreamId>> upstreams) {
  static final RoutingIndex EMPTY = empty(Configuration.EMPTY, 1);

  /** Back ends that are used for one upstream, and the slots of all back ends of the fleet. */
  record Candidates(List<Candidate> backends, int fleetSlots) {
    static final Candidates NONE = new Candidates(List.of(), 0);
  }

  Candidates candidates(UpstreamId upstream) {
    return candidates.getOrDefault(upstream, Candidates.NONE);
  }

  List<UpstreamId> upstreams(BackendId backend) {
    return upstreams.getOrDefault(backend, TreePVector.empty());
  }

  /** Returns whether the index still fits; the fold keeps the maps of parts that don't change. */
  boolean fits(AgreedState agreed, double part) {
    return fleetFits(agreed, part) && serving == agreed.ledger().replicas().serving();
  }

  static RoutingIndex of(NodeState.Self self, AgreedState agreed, double part) {
    return EMPTY.following(self, agreed, part);
  }

  /** Returns the index that fits the agreed state. */
  RoutingIndex following(NodeState.Self self, AgreedState agreed, double part) {
    RoutingIndex next = fleetFits(agreed, part) ? this : ofServices(self, agreed, part);
    PMap<ModelId, TreePSet<BackendId>> now = agreed.ledger().replicas().serving();
    Set<ModelId> models = new HashSet<>(next.serving.keySet());
    models.addAll(now.keySet());
    for (ModelId model : models) {
      TreePSet<BackendId> holders = now.getOrDefault(model, TreePSet.empty());
      if (!holders.equals(next.serving.get(model))) {
        List<Backend> backends = next.backends(holders);
        next = next.with(self, new UpstreamId(false, model.value()), backends);
      }
    }
    return next.withServing(now);
  }

  private boolean fleetFits(AgreedState agreed, double part) {
    return engines == agreed.configuration().engines()
        && services == agreed.configuration().services()
        && fleetPart == part;
  }

  private static RoutingIndex ofServices(NodeState.Self self, AgreedState agreed, double part) {
    RoutingIndex next = empty(agreed.configuration(), part);
    for (PlainService service : next.services.values()) {
      UpstreamId upstream = new UpstreamId(true, service.id().value());
      next = next.with(self, upstream, List.copyOf(service.endpoints()));
    }
    return next;
  }

  private List<Backend> backends(TreePSet<BackendId> holders) {
    return holders.stream()
        .map(engines::get)
        .filter(Objects::nonNull)
        .<Backend>map(e -> e)
        .toList();
  }

  private RoutingIndex with(NodeState.Self self, UpstreamId upstream, List<Backend> backends) {
    List<Candidate> subset = Subset.choose(self, backends, fleetPart);
    PMap<BackendId, PVector<UpstreamId>> reverse = upstreams;
    for (Candidate candidate : candidates(upstream).backends()) {
      BackendId id = candidate.backend().id();
      PVector<UpstreamId> left = reverse.get(id).minus(upstream);
      reverse = left.isEmpty() ? reverse.minus(id) : reverse.plus(id, left);
    }
    for (Candidate candidate : subset) {
      BackendId id = candidate.backend().id();
      reverse = reverse.plus(id, reverse.getOrDefault(id, TreePVector.empty()).plus(upstream));
    }
    int slots = backends.stream().mapToInt(Backend::slots).sum();
    PMap<UpstreamId, Candidates> chosen =
        subset.isEmpty()
            ? candidates.minus(upstream)
            : candidates.plus(upstream, new Candidates(subset, slots));
    return new RoutingIndex(engines, services, serving, fleetPart, chosen, reverse);
  }

  private RoutingIndex withServing(PMap<ModelId, TreePSet<BackendId>> value) {
    return new RoutingIndex(engines, services, value, fleetPart, candidates, upstreams);
  }

  private static RoutingIndex empty(Configuration configuration, double part) {
    return new RoutingIndex(
        configuration.engines(),
        configuration.services(),
        HashTreePMap.empty(),
        part,
        HashTreePMap.empty(),
        HashTreePMap.empty());
  }
}
