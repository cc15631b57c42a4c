package org.limpetdoor.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Polls instances until they have a version of the configuration in force. */
final class ForceWait {
  private static final long MAX_CALL_MS = 2_000;

  private final CliContext context;
  private final Map<String, OperatorService> pending = new LinkedHashMap<>();
  private final Map<String, String> lastSeen = new LinkedHashMap<>();
  private final List<String> inForce = new ArrayList<>();

  ForceWait(CliContext context, List<String> addresses) {
    this.context = context;
    addresses.forEach(address -> pending.put(address, context.operators().apply(address)));
  }

  /**
   * Returns the result once all instances have the version in force, or at the timeout.
   *
   * @param version the version; a later one also counts
   * @param timeoutMs maximum total wait, in milliseconds, at least 1
   */
  Result await(long version, long timeoutMs) {
    long deadlineMs = context.clockMs().getAsLong() + timeoutMs;
    while (true) {
      pollAll(version, deadlineMs);
      if (pending.isEmpty() || leftMs(deadlineMs) <= context.retryDelayMs()) {
        return result();
      }
      pause();
    }
  }

  /** Polls the instances in turn. A silent one reduces the time that is left for the others. */
  private void pollAll(long version, long deadlineMs) {
    for (String address : List.copyOf(pending.keySet())) {
      long leftMs = leftMs(deadlineMs);
      if (leftMs > 0) {
        note(address, version, poll(pending.get(address), Math.min(leftMs, MAX_CALL_MS)));
      }
    }
  }

  private Poll poll(OperatorService instance, long timeoutMs) {
    try {
      long version = instance.status(timeoutMs).path("configurationVersion").longValue();
      return new Poll(version, "version " + version + " in force");
    } catch (InstanceException e) {
      return new Poll(Long.MIN_VALUE, e.line());
    }
  }

  private void note(String address, long version, Poll poll) {
    boolean reached = poll.version() >= version;
    String before = lastSeen.put(address, poll.text());
    if (!poll.text().equals(before)) {
      context.progress().accept(address + ": " + poll.text());
    }
    if (reached) {
      pending.remove(address);
      inForce.add(address);
    }
  }

  private Result result() {
    Map<String, String> missing = new LinkedHashMap<>();
    pending
        .keySet()
        .forEach(
            a -> missing.put(a, lastSeen.getOrDefault(a, "not polled before the timeout")));
    return new Result(inForce, missing);
  }

  private long leftMs(long deadlineMs) {
    return deadlineMs - context.clockMs().getAsLong();
  }

  private void pause() {
    Executor delayed =
        CompletableFuture.delayedExecutor(context.retryDelayMs(), TimeUnit.MILLISECONDS);
    CompletableFuture.runAsync(() -> {}, delayed).join();
  }

  private record Poll(long version, String text) {}

  /**
   * The result of a wait.
   *
   * @param inForce addresses of the instances that have the version in force
   * @param missing last result of polling each other instance, by address
   */
  record Result(List<String> inForce, Map<String, String> missing) {
    /** Returns the report of a publication, extended by the result of the wait. */
    Report addedTo(Report published) {
      List<String> lines = new ArrayList<>(published.lines());
      lines.add("in force on " + inForce.size() + " of " + (inForce.size() + missing.size()));
      missing.forEach((address, seen) -> lines.add("not in force on " + address + ": " + seen));
      Map<String, Object> fields = new LinkedHashMap<>(published.fields());
      fields.put("inForceOn", inForce);
      fields.put("notInForceOn", missing);
      return new Report(missing.isEmpty() ? ExitCode.OK : ExitCode.NOT_IN_FORCE, lines, fields);
    }
  }
}
