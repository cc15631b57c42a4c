package org.limpetdoor.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.Decision.Field;
import org.limpetdoor.core.decision.DecisionKind;

/**
 * Counts the calls of each account that were sent to an engine or refused. Used by the control
 * thread only.
 */
final class AccountMetrics {
  /** Largest number of accounts with counters of their own, which bounds the memory for them. */
  static final int MAX_ACCOUNTS = 32;

  private static final String OTHER = "other";

  private final MeterRegistry metrics;
  private final Set<String> named = new HashSet<>();

  AccountMetrics(MeterRegistry metrics) {
    this.metrics = metrics;
  }

  /** Counts the first routing of a call, or its refusal by reason and cause. */
  void count(CallDecision decision) {
    Optional<String> account = decision.call().account();
    boolean routed = decision.kind() == DecisionKind.CALL_ROUTED && decision.call().attempts() == 1;
    boolean refused = decision.kind() == DecisionKind.CALL_REFUSED;
    if (account.isEmpty() || !(routed || refused)) {
      return;
    }
    metrics
        .counter(
            "limpetdoor.account.calls",
            "account",
            tag(account.get()),
            "outcome",
            refused ? field(decision, "reason") : "routed",
            "cause",
            refused ? field(decision, "cause") : "none")
        .increment();
  }

  private String tag(String account) {
    boolean known = named.contains(account);
    if (!known && named.size() >= MAX_ACCOUNTS) {
      return OTHER;
    }
    named.add(account);
    return account;
  }

  private static String field(CallDecision decision, String key) {
    return decision.details().stream()
        .filter(field -> field.key().equals(key))
        .map(Field::value)
        .findFirst()
        .orElse("none");
  }
}
