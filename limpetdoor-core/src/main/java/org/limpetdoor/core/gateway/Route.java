package org.limpetdoor.core.gateway;

import java.util.List;

/**
 * A route from a host and a path prefix to services.
 *
 * @param name name of the route
 * @param host host that callers name
 * @param pathPrefix start of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMs longest time from arrival to the end of the answer, in milliseconds
 * @param targetLatencyMs time to the answer, or to its first event, that callers expect
 * @param maxAttempts engines on which one attempt of a caller may run, at least 1
 * @param priority rank; 0 is the most urgent
 * @param resumable whether a stream may go on at another engine
 * @param maxGapMs longest pause between events of a stream that callers expect
 * @param services services with their weights; at least one
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    int timeoutMs,
    int targetLatencyMs,
    int maxAttempts,
    int priority,
    boolean resumable,
    int maxGapMs,
    List<WeightedService> services) {
  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * A service of a route.
   *
   * @param service name of the service
   * @param weight part of the calls, relative to the other services of the route
   */
  public record WeightedService(String service, int weight) {}

  /** Returns whether a call that may have run may be sent again. */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /** Returns the service for a call; the same hash always gives the same service. */
  public String serviceFor(long hash) {
    long total = services.stream().mapToLong(WeightedService::weight).sum();
    if (total <= 0) {
      return services.get(0).service();
    }
    long point = Math.floorMod(hash, total);
    for (WeightedService candidate : services) {
      point -= candidate.weight();
      if (point < 0) {
        return candidate.service();
      }
    }
    return services.get(0).service();
  }
}
