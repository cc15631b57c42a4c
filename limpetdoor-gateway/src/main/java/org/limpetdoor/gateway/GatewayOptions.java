package org.limpetdoor.gateway;

import java.net.InetSocketAddress;
import org.limpetdoor.core.NodeState.Self;
import org.limpetdoor.core.gateway.GatewaySettings;

/**
 * Addresses and bounds of one gateway.
 *
 * @param self identity of the instance
 * @param callers where callers connect
 * @param readiness where the load balancer asks whether callers should be sent here
 * @param readinessPath path of that question
 * @param metrics where metrics are served, as text, under any path
 * @param peers where other instances connect
 * @param peerSecret secret that all instances share, at least 16 bytes
 * @param gatewaySettings bounds of the deployment
 */
// The secret is handed on once and never compared.
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
