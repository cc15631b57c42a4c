package org.limpetdoor.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.limpetdoor.runtime.decision.LogLineParser;

/** Collects the log lines of a call and the status changes shortly before its end. */
final class CallTimeline {
  /** Status changes up to this long before the last line of a call may be its cause. */
  private static final long CAUSE_WINDOW_MS = 10_000;

  /** Events of status changes that can affect any call. */
  private static final Set<String> SHARED_CHANGES =
      Set.of(
          "dependency",
          "duty",
          "routes",
          "store_era",
          "drain",
          "instance_started",
          "instance_stopped");

  private final String call;
  private final List<Entry> callEntries = new ArrayList<>();
  private final List<Entry> statusChanges = new ArrayList<>();

  CallTimeline(String call) {
    this.call = call;
  }

  private record Entry(long atMs, String source, Map<String, String> pairs) {
    String text() {
      StringBuilder text = new StringBuilder(atMs + " " + source);
      pairs.forEach(
          (key, value) -> {
            if (!key.equals("at_ms")) {
              text.append(' ').append(key).append('=').append(value);
            }
          });
      return text.toString();
    }
  }

  /** Adds a log line; lines that are neither decisions nor status changes are ignored. */
  void add(String source, String line) {
    LogLineParser.parse(line).ifPresent(pairs -> add(source, pairs));
  }

  /** Returns the collected lines, newest first, or an empty list if no line names the call. */
  List<String> lines() {
    if (callEntries.isEmpty()) {
      return List.of();
    }
    long lastMs = callEntries.stream().mapToLong(Entry::atMs).max().orElse(0);
    Set<String> engines = new HashSet<>();
    callEntries.forEach(entry -> engines.add(entry.pairs().getOrDefault("engine", "")));
    List<Entry> all = new ArrayList<>(callEntries);
    for (Entry change : statusChanges) {
      boolean withinWindow = change.atMs() <= lastMs && change.atMs() >= lastMs - CAUSE_WINDOW_MS;
      boolean affectsCall =
          SHARED_CHANGES.contains(change.pairs().get("event"))
              || engines.contains(change.pairs().get("engine"));
      if (withinWindow && affectsCall) {
        all.add(change);
      }
    }
    all.sort(Comparator.comparingLong(Entry::atMs).reversed());
    return all.stream().map(Entry::text).toList();
  }

  private void add(String source, Map<String, String> pairs) {
    String event = pairs.get("event");
    Entry entry = new Entry(parseTimeMs(pairs.get("at_ms")), source, pairs);
    if (call.equals(pairs.get("call"))) {
      callEntries.add(entry);
    } else if (SHARED_CHANGES.contains(event) || event.startsWith("engine")) {
      statusChanges.add(entry);
    }
  }

  /** Returns 0 for a missing or invalid time, so that the line sorts as the oldest. */
  private static long parseTimeMs(String text) {
    return text != null && text.matches("[0-9]{1,18}") ? Long.parseLong(text) : 0;
  }
}
