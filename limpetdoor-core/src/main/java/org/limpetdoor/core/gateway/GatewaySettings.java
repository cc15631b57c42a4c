package org.limpetdoor.core.gateway;

/**
 * Limits and timeouts that the deployment configures.
 *
 * @param drainTimeoutMs time that open calls have to end at a graceful shutdown, in milliseconds
 * @param retryRatio retries per request that all instances together may send
 * @param retrySlack retries that all instances together may send beyond the ratio in one window
 * @param leaseMs minimum time between the orders of two holders of the placement duty, in
 *     milliseconds
 * @param fencingEnforced whether engines refuse orders with a fencing number below the highest that
 *     they have seen
 * @param relistMs time after the recovery of the store within which live engines are listed again,
 *     in milliseconds
 * @param listIntervalMs interval at which an instance reads the list of engines for itself, in
 *     milliseconds
 * @param factsMaxAgeMs age of a hub's facts from which its spokes read the store themselves, in
 *     milliseconds
 */
public record GatewaySettings(
    long drainTimeoutMs,
    double retryRatio,
    double retrySlack,
    long leaseMs,
    boolean fencingEnforced,
    long relistMs,
    long listIntervalMs,
    long factsMaxAgeMs) {
  /** Settings before the gateway has started; no retry is allowed. */
  public static final GatewaySettings NONE = new GatewaySettings(0, 0, 0, 0, false, 0, 0, 0);
}
