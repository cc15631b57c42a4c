package org.limpetdoor.gateway;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.Decision.Field;
import org.limpetdoor.core.decision.DecisionKind;
import org.limpetdoor.runtime.decision.LogLine;

/**
 * Counts the calls of each account by the decisions about them. The number of accounts with a count
 * of their own is bounded. It is not thread-safe.
 */
final class AccountCounts {
  /** Number of accounts with a count of their own; the others share one. */
  static final int MAX_ACCOUNTS = 32;

  /** Interval of the log lines, in milliseconds. */
  static final long LOG_INTERVAL_MS = 10_000;

  private static final String OTHER = "other";

  private final MeterRegistry metrics;
  private final Map<String, Map<String, Long>> sinceLastLine = new TreeMap<>();
  private final List<String> accounts = new ArrayList<>();
  private long lastLineAtMs;

  AccountCounts(MeterRegistry metrics, long nowMs) {
    this.metrics = metrics;
    this.lastLineAtMs = nowMs;
  }

  /** Counts a decision, if the account of its call is known. */
  void count(CallDecision decision) {
    decision.call().account().ifPresent(account -> count(label(account), decision));
  }

  private void count(String account, CallDecision decision) {
    boolean sent = decision.kind() == DecisionKind.CALL_ROUTED && decision.call().attempts() == 1;
    boolean failed = decision.kind() == DecisionKind.CALL_REFUSED;
    if (sent) {
      add(account, "admitted", "none");
      if (!field(decision, "waited_ms").equals("0")) {
        add(account, "waited", "none");
      }
    }
    if (failed && decision.call().attempts() == 0) {
      add(account, "refused", field(decision, "cause"));
    }
    if (sent || (failed && decision.call().attempts() == 0)) {
      add(account, "offered", "none");
    }
  }

  private void add(String account, String outcome, String cause) {
    metrics
        .counter("limpetdoor.account.calls", "account", account, "outcome", outcome, "cause", cause)
        .increment();
    String key = cause.equals("none") ? outcome : outcome + "_" + cause;
    sinceLastLine.computeIfAbsent(account, name -> new TreeMap<>()).merge(key, 1L, Long::sum);
  }

  private String label(String account) {
    if (!accounts.contains(account) && accounts.size() < MAX_ACCOUNTS) {
      accounts.add(account);
    }
    return accounts.contains(account) ? account : OTHER;
  }

  private static String field(CallDecision decision, String key) {
    return decision.details().stream()
        .filter(field -> field.key().equals(key))
        .map(Field::value)
        .findFirst()
        .orElse("none");
  }

  /** Returns a line for each account with calls since the last lines, if the interval is over. */
  List<LogLine> takeLines(long nowMs) {
    if (nowMs - lastLineAtMs < LOG_INTERVAL_MS) {
      return List.of();
    }
    lastLineAtMs = nowMs;
    List<LogLine> lines = new ArrayList<>();
    for (Map.Entry<String, Map<String, Long>> account : sinceLastLine.entrySet()) {
      LogLine line = LogLine.event("account_calls").with("account", account.getKey());
      for (Map.Entry<String, Long> count : account.getValue().entrySet()) {
        line = line.with(count.getKey(), count.getValue());
      }
      lines.add(line);
    }
    sinceLastLine.clear();
    return lines;
  }
}
