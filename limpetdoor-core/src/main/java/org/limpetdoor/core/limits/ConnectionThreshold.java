package org.limpetdoor.core.limits;

/**
 * Decides how many connections one address may have to a listener: eight times as many as are free.
 * An address that is alone gets eight ninths of all, as all callers may come through one balancer.
 *
 * <p>It answers the load at which one address opens connections without end: descriptors and memory
 * for connections of other addresses remain. Beyond the threshold the address keeps its number; a
 * new connection takes the place of an older one that serves no request.
 *
 * @param maxConnections connections that the listener may have at once
 */
public record ConnectionThreshold(int maxConnections) {
  private static final int FREE_FACTOR = 8;

  /** Checks the number. */
  public ConnectionThreshold {
    if (maxConnections < 1) {
      throw new IllegalArgumentException("maxConnections is below 1: " + maxConnections);
    }
  }

  /**
   * Returns whether an address may have one more connection without giving up another one.
   *
   * @param ofAddress its connections afterwards
   * @param open connections of all addresses afterwards
   */
  public boolean allows(int ofAddress, int open) {
    return ofAddress <= (long) FREE_FACTOR * (maxConnections - open);
  }

  /**
   * Returns a threshold that allows no more connections than this one and than a limit.
   *
   * @param limit connections of all addresses, at least 1
   */
  public ConnectionThreshold atMost(int limit) {
    // The threshold always leaves one connection free.
    return new ConnectionThreshold((int) Math.min(maxConnections, limit + 1L));
  }
}
