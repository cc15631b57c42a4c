package org.limpetdoor.core.config;

import java.util.List;
import org.limpetdoor.core.id.ServiceId;

/**
 * A service that is not a model engine and is passed through by name.
 *
 * @param id the name that callers use in the path
 * @param endpoints where it runs
 * @param rules which calls may be repeated; the first rule that matches counts
 */
public record PlainService(ServiceId id, List<ServiceEndpoint> endpoints, List<CallRule> rules) {
  /** Copies the lists. */
  public PlainService {
    endpoints = List.copyOf(endpoints);
    rules = List.copyOf(rules);
  }

  /**
   * Returns whether a call may be repeated. A call that no rule matches may not, which is the safe
   * choice.
   */
  public Repeatability repeatability(String method, String path) {
    return rules.stream()
        .filter(rule -> rule.matches(method, path))
        .findFirst()
        .map(CallRule::repeatability)
        .orElse(Repeatability.AT_MOST_ONCE);
  }
}
