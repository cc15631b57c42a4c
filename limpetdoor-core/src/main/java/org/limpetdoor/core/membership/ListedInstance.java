package org.limpetdoor.core.membership;

import org.limpetdoor.core.id.InstanceId;
import org.limpetdoor.core.id.ZoneId;

/**
 * An entry of the list of instances.
 *
 * @param id name of the instance
 * @param address address for peers as {@code ip:port}
 * @param zone zone that it runs in
 * @param region region of the zone
 * @param leaving whether it is going away
 */
public record ListedInstance(
    InstanceId id, String address, ZoneId zone, String region, boolean leaving) {}
