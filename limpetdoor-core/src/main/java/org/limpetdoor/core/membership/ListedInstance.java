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
 */
public record ListedInstance(
    InstanceId id, String address, ZoneId zone, String region, boolean leaving) {}
