package org.limpetdoor.core.request;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.limpetdoor.core.NodeState;
import org.limpetdoor.core.config.Backend;

/** Chooses the back ends that one instance uses for one upstream. */
final class BackendSubset {
  /** Large enough to even out bursts and slow engines; smaller fleets are used as a whole. */
  static final int MIN_SIZE = 8;

  /** Bounds the cost of a routing decision. */
  static final int MAX_SIZE = 32;

  /** Mean number of subsets that contain a back end; with two, load evens out between back ends. */
  private static final double OVERLAP = 2;

  /** Minimum number of back ends in other zones, which serve if the own zone fails. */
  private static final int MIN_REMOTE_BACKENDS = 2;

  private BackendSubset() {}

  /** Returns the candidates ordered by rendezvous hash, those of the own zone first. */
  static List<Candidate> choose(NodeState.Self self, List<Backend> backends, double fleetShare) {
    long key = Rendezvous.hash(self.id().value());
    List<Candidate> ranked =
        backends.stream()
            .map(backend -> Candidate.of(backend, self.zone()))
            .sorted(
                Comparator.comparing(Candidate::remote)
                    .thenComparing(c -> Rendezvous.weight(key, c.hash()), Comparator.reverseOrder())
                    .thenComparing(c -> c.backend().id()))
            .toList();
    int size = size(ranked.size(), fleetShare);
    int local = (int) ranked.stream().filter(candidate -> !candidate.remote()).count();
    int remote = Math.min(ranked.size() - local, Math.max(MIN_REMOTE_BACKENDS, size - local));
    List<Candidate> chosen = new ArrayList<>(ranked.subList(0, Math.min(local, size - remote)));
    chosen.addAll(ranked.subList(local, local + remote));
    return List.copyOf(chosen);
  }

  private static int size(int all, double fleetShare) {
    int targetSize = (int) Math.ceil(OVERLAP * all * fleetShare);
    return Math.min(all, Math.min(MAX_SIZE, Math.max(MIN_SIZE, targetSize)));
  }
}
