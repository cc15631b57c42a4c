package org.limpetdoor.core.gateway;

/**
 * Bounds that the deployment sets.
 *
 * @param drainTimeoutMs time that open calls have at a graceful shutdown, in milliseconds
 * @param retryRatio retries for each request that all instances together may send
 * @param retrySlack retries that all instances together may send beyond that in one window
 * @param leaseMs time that must pass between the orders of two holders of a duty, in milliseconds
 * @param fencingEnforced whether engines refuse orders with a fencing number below the highest
 * @param relistMs time after the return of the store in which engines are listed again
 */
public record GatewaySettings(
    long drainTimeoutMs,
    double retryRatio,
    double retrySlack,
    long leaseMs,
    boolean fencingEnforced,
    long relistMs) {
  /** Settings before the start is known; no retry is allowed. */
  public static final GatewaySettings NONE = new GatewaySettings(0, 0, 0, 0, false, 0);
}
