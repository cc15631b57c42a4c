package org.limpetdoor.core.membership;

import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

/**
 * An entry of the instance list.
 *
 * @param id name of the instance
 * @param address address for peers as {@code ip:port}
 * @param zone zone that the instance runs in
 * @param region region of the zone
 * @param leaving whether the instance is shutting down
 * @param cores processor share of its machine, in cores; instances with more become hubs first
 */
public record ListedInstance(
    InstanceId id, String address, ZoneId zone, String region, boolean leaving, double cores) {
  /** Processor share of an instance that does not state one, in cores. */
  public static final double UNKNOWN_CORES = 0;

  /** Creates an entry that does not state a processor share. */
  public ListedInstance(
      InstanceId id, String address, ZoneId zone, String region, boolean leaving) {
    this(id, address, zone, region, leaving, UNKNOWN_CORES);
  }
}
