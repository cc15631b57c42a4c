package org.limpetdoor.core.config;

import java.util.List;
import org.limpetdoor.core.id.ServiceId;

/**
 * A service that is not a model engine. Calls to it are forwarded by its name.
 *
 * @param id name that callers use in the path
 * @param endpoints endpoints of the service
 * @param rules rules that state which calls may be repeated; the first matching rule applies
 */
public record PlainService(ServiceId id, List<ServiceEndpoint> endpoints, List<CallRule> rules) {
  /** Copies the lists. */
  public PlainService {
    endpoints = List.copyOf(endpoints);
    rules = List.copyOf(rules);
  }

  /**
   * Returns whether a call may be repeated. Without a matching rule it may not, which is the safe
   * default.
   */
  public Repeatability repeatability(String method, String path) {
    return rules.stream()
        .filter(rule -> rule.matches(method, path))
        .findFirst()
        .map(CallRule::repeatability)
        .orElse(Repeatability.AT_MOST_ONCE);
  }
}
