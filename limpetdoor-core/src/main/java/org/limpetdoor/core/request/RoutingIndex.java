package org.limpetdoor.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.config.Backend;
import org.limpetdoor.core.config.Configuration;
import org.limpetdoor.core.config.Engine;
import org.limpetdoor.core.config.PlainService;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ModelId;
import org.limpetdoor.core.id.ServiceId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * Back ends by upstream and the reverse, computed when engines or services change, so that no
 * decision looks at the whole fleet.
 *
 * @param engines engines that it was computed from
 * @param services plain services that it was computed from
 * @param fleetPart part of the fleet's load that this instance carries
 * @param candidates back ends that this instance uses for each upstream
 * @param upstreams upstreams of each of these back ends
 */
record RoutingIndex(
    PMap<BackendId, Engine> engines,
    PMap<ServiceId, PlainService> services,
    double fleetPart,
    Map<UpstreamId, Candidates> candidates,
    Map<BackendId, List<UpstreamId>> upstreams) {
  static final RoutingIndex EMPTY =
      new RoutingIndex(HashTreePMap.empty(), HashTreePMap.empty(), 1, Map.of(), Map.of());

  /** Back ends that are used for one upstream, and the slots of all back ends of the fleet. */
  record Candidates(List<Candidate> backends, int fleetSlots) {
    static final Candidates NONE = new Candidates(List.of(), 0);
  }

  Candidates candidates(UpstreamId upstream) {
    return candidates.getOrDefault(upstream, Candidates.NONE);
  }

  List<UpstreamId> upstreams(BackendId backend) {
    return upstreams.getOrDefault(backend, List.of());
  }

  /** Returns whether the index still fits; patches keep the maps of sections they don't touch. */
  boolean fits(Configuration configuration, double part) {
    return engines == configuration.engines()
        && services == configuration.services()
        && fleetPart == part;
  }

  static RoutingIndex of(NodeState.Self self, Configuration configuration, double part) {
    Map<UpstreamId, List<Backend>> all = new HashMap<>();
    for (Engine engine : configuration.engines().values()) {
      for (ModelId model : engine.initialModels()) {
        UpstreamId upstream = new UpstreamId(false, model.value());
        all.computeIfAbsent(upstream, key -> new ArrayList<>()).add(engine);
      }
    }
    for (PlainService service : configuration.services().values()) {
      UpstreamId upstream = new UpstreamId(true, service.id().value());
      all.put(upstream, List.copyOf(service.endpoints()));
    }
    Map<UpstreamId, Candidates> chosen = new HashMap<>();
    Map<BackendId, List<UpstreamId>> reverse = new HashMap<>();
    all.forEach(
        (upstream, backends) -> {
          List<Candidate> subset = Subset.choose(self, backends, part);
          int slots = backends.stream().mapToInt(Backend::slots).sum();
          chosen.put(upstream, new Candidates(subset, slots));
          for (Candidate candidate : subset) {
            reverse
                .computeIfAbsent(candidate.backend().id(), key -> new ArrayList<>())
                .add(upstream);
          }
        });
    return new RoutingIndex(
        configuration.engines(), configuration.services(), part, chosen, reverse);
  }
}
