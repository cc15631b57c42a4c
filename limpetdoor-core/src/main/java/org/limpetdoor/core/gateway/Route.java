package org.limpetdoor.core.gateway;

import java.util.List;

/**
 * A route from a host and a path prefix to services.
 *
 * @param name name of the route
 * @param host host that the route matches
 * @param pathPrefix path prefix that the route matches; begins and ends with a slash
 * @param kind kind of its calls
 * @param timeoutMs longest time from arrival to the end of the response, in milliseconds
 * @param targetLatencyMs expected time to the response or its first event, in milliseconds
 * @param maxAttempts largest number of engines that may run one request of a caller, at least 1
 * @param priority priority of its calls; 0 is the most urgent
 * @param resumable whether a stream may be resumed at another engine
 * @param maxGapMs longest expected pause between events of a stream, in milliseconds
 * @param anonymousAccess whether callers need no account where the deployment has accounts
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
    boolean anonymousAccess,
    List<WeightedService> services) {
  /** Pause of a stream that every caller accepts, in milliseconds. */
  private static final long MIN_ACCEPTED_PAUSE_MS = 2_000;

  /** Pause of a stream that callers accept, as a multiple of the target latency. */
  private static final int ACCEPTED_PAUSE_TARGETS = 4;

  /** Pause of a stream that callers accept, as a multiple of the expected pause between events. */
  private static final int ACCEPTED_PAUSE_GAPS = 8;

  /** Copies the services. */
  public Route {
    services = List.copyOf(services);
  }

  /**
   * A service of a route.
   *
   * @param service name of the service
   * @param weight share of the calls, relative to the weights of the other services of the route
   */
  public record WeightedService(String service, int weight) {}

  /** Returns whether a call that may have run may be sent to another engine. */
  public boolean mayRepeat() {
    return kind.mayRepeat(resumable);
  }

  /**
   * Returns the longest time for which an interrupted stream may wait for another engine, in
   * milliseconds: the pause after which callers disconnect, less the expected time to the first
   * event of the resumed stream.
   */
  public long resumeWaitMs() {
    long acceptedPauseMs =
        Math.max(
            MIN_ACCEPTED_PAUSE_MS,
            Math.max(
                (long) ACCEPTED_PAUSE_TARGETS * targetLatencyMs,
                (long) ACCEPTED_PAUSE_GAPS * maxGapMs));
    return acceptedPauseMs - Math.min(targetLatencyMs, acceptedPauseMs / 2);
  }

  /** Returns the service for a call. The same hash always yields the same service. */
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
