package org.limpetdoor.core.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.limpetdoor.core.gateway.account.AccountTable;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * One version of the route configuration.
 *
 * @param version version number; a higher version replaces a lower one
 * @param routes routes by host, in descending order of prefix length
 * @param services services by name
 * @param limits limits on callers
 * @param accounts client accounts
 */
public record RouteTable(
    long version,
    PMap<String, List<Route>> routes,
    PMap<String, ServiceSpec> services,
    CallerLimits limits,
    AccountTable accounts) {

  /**
   * Limits on callers.
   *
   * @param maxHeaderBytes longest request head, in bytes
   * @param maxBodyBytes longest request body, in bytes
   * @param headerTimeoutMs longest time for a request head, in milliseconds
   * @param idleTimeoutMs longest time without a request on a connection, in milliseconds
   */
  public record CallerLimits(
      int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
    /** Limits in force until a configuration has been received. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 5_000, 15_000);
  }

  /** Creates a table without client accounts from routes and services in any order. */
  public static RouteTable of(
      long version,
      Collection<Route> routes,
      Collection<ServiceSpec> services,
      CallerLimits limits) {
    return of(version, routes, services, limits, AccountTable.NONE);
  }

  /** Creates a table from routes and services in any order. */
  public static RouteTable of(
      long version,
      Collection<Route> routes,
      Collection<ServiceSpec> services,
      CallerLimits limits,
      AccountTable accounts) {
    PMap<String, List<Route>> byHost = HashTreePMap.empty();
    for (Route route : routes) {
      List<Route> sorted = new ArrayList<>(byHost.getOrDefault(route.host(), List.of()));
      sorted.add(route);
      sorted.sort(Comparator.comparingInt((Route r) -> r.pathPrefix().length()).reversed());
      byHost = byHost.plus(route.host(), List.copyOf(sorted));
    }
    PMap<String, ServiceSpec> byName = HashTreePMap.empty();
    for (ServiceSpec service : services) {
      byName = byName.plus(service.name(), service);
    }
    return new RouteTable(version, byHost, byName, limits, accounts);
  }

  /** Returns the route of the host with the longest matching path prefix, if any. */
  public Optional<Route> find(String host, String path) {
    for (Route route : routes.getOrDefault(host, List.of())) {
      if (path.startsWith(route.pathPrefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }
}
