package org.limpetdoor.gateway;

import java.net.InetSocketAddress;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.gateway.GatewaySettings;

/**
 * Addresses and settings of one gateway.
 *
 * @param self identity of the instance
 * @param callers address for callers
 * @param readiness address for readiness checks of the load balancer
 * @param readinessPath path prefix of readiness checks
 * @param metrics address at which metrics are served as text under any path
 * @param peers address for other instances
 * @param peerSecret secret that all instances share, at least 16 bytes
 * @param gatewaySettings time limits, retry limits and fencing of the deployment
 */
// The secret is only passed on and never compared, so array equality doesn't matter.
@SuppressWarnings("ArrayRecordComponent")
public record GatewayOptions(
    Self self,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    String readinessPath,
    InetSocketAddress metrics,
    InetSocketAddress peers,
    byte[] peerSecret,
    GatewaySettings gatewaySettings) {}
