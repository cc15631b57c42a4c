package org.limpetdoor.core.membership;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

class FullMeshTest {
  private static List<ListedInstance> fleet(int size) {
    return IntStream.range(0, size)
        .mapToObj(
            i ->
                new ListedInstance(
                    new InstanceId("n" + i),
                    "10.0.0." + i + ":1",
                    new ZoneId("z" + i % 3),
                    "r",
                    false))
        .toList();
  }

  /** Guards against a pair of instances without a link, between which no message arrives. */
  @Test
  void linksEachInstanceOfASmallFleetToAllOthers() {
    List<ListedInstance> fleet = fleet(Neighbours.FULL_MESH_MAX_INSTANCES);

    for (ListedInstance self : fleet) {
      assertThat(Neighbours.choose(self, fleet)).hasSize(fleet.size() - 1);
    }
  }

  /** Guards against a number of links that grows with the size of a large fleet. */
  @Test
  void boundsTheLinksOfALargeFleet() {
    List<ListedInstance> fleet = fleet(Neighbours.FULL_MESH_MAX_INSTANCES + 1);

    assertThat(Neighbours.choose(fleet.get(0), fleet)).hasSize(Neighbours.LARGE_FLEET_LINKS);
  }
}
