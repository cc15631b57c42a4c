package org.limpetdoor.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/** Polls instances until they have a version of the configuration in force. */
final class InForcePoller {
  private static final long MAX_POLL_MS = 2_000;

  private final CliContext context;
  private final Map<String, OperatorService> pending = new LinkedHashMap<>();
  private final Map<String, String> lastResults = new LinkedHashMap<>();
  private final List<String> inForce = new ArrayList<>();

  InForcePoller(CliContext context, List<String> addresses) {
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
      if (pending.isEmpty() || remainingMs(deadlineMs) <= context.retryDelayMs()) {
        return result();
      }
      waitForNextPoll();
    }
  }

  /** Polls the instances in turn. A silent one reduces the time that is left for the others. */
  private void pollAll(long version, long deadlineMs) {
    for (String address : List.copyOf(pending.keySet())) {
      long remainingMs = remainingMs(deadlineMs);
      if (remainingMs > 0) {
        recordResult(
            address, version, poll(pending.get(address), Math.min(remainingMs, MAX_POLL_MS)));
      }
    }
  }

  private PollResult poll(OperatorService instance, long timeoutMs) {
    try {
      long version = instance.status(timeoutMs).path("configurationVersion").longValue();
      return new PollResult(version, "version " + version + " in force");
    } catch (InstanceException e) {
      return new PollResult(Long.MIN_VALUE, e.line());
    }
  }

  private void recordResult(String address, long version, PollResult poll) {
    boolean reached = poll.version() >= version;
    String previous = lastResults.put(address, poll.text());
    if (!poll.text().equals(previous)) {
      context.progress().accept(address + ": " + poll.text());
    }
    if (reached) {
      pending.remove(address);
      inForce.add(address);
    }
  }

  private Result result() {
    Map<String, String> notInForce = new LinkedHashMap<>();
    pending
        .keySet()
        .forEach(a -> notInForce.put(a, lastResults.getOrDefault(a, "not asked in time")));
    return new Result(inForce, notInForce);
  }

  private long remainingMs(long deadlineMs) {
    return deadlineMs - context.clockMs().getAsLong();
  }

  private void waitForNextPoll() {
    Executor delayed =
        CompletableFuture.delayedExecutor(context.retryDelayMs(), TimeUnit.MILLISECONDS);
    CompletableFuture.runAsync(() -> {}, delayed).join();
  }

  private record PollResult(long version, String text) {}

  /**
   * The result of a wait.
   *
   * @param inForce addresses of the instances that have the version in force
   * @param notInForce last result of polling each other instance, by address
   */
  record Result(List<String> inForce, Map<String, String> notInForce) {
    /** Returns the report of a publication, extended by the result of the wait. */
    Report addedTo(Report published) {
      List<String> lines = new ArrayList<>(published.lines());
      lines.add("in force on " + inForce.size() + " of " + (inForce.size() + notInForce.size()));
      notInForce.forEach(
          (address, lastResult) -> lines.add("not in force on " + address + ": " + lastResult));
      Map<String, Object> fields = new LinkedHashMap<>(published.fields());
      fields.put("inForceOn", inForce);
      fields.put("notInForceOn", notInForce);
      return new Report(notInForce.isEmpty() ? ExitCode.OK : ExitCode.NOT_IN_FORCE, lines, fields);
    }
  }
}
