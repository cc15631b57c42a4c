package org.limpetdoor.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.limpetdoor.core.decision.CallDecision;
import org.limpetdoor.core.decision.Decision;
import org.limpetdoor.core.decision.DecisionKind;
import org.limpetdoor.runtime.decision.LogLine;

/**
 * Writes a log line for each decision without ever blocking the threads that decide. Lines that do
 * not fit into the queue are counted and reported. Of the calls that were routed and completed at
 * the first attempt, one in {@value #SAMPLE_ONE_IN} is written; failures and state changes always
 * are.
 */
final class DecisionLog implements AutoCloseable {
  /** Maximum number of lines queued for the writer; about 1 MB. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /**
   * Number of routine decisions of which one is logged; at 50 calls a second, about 5 lines a
   * second remain.
   */
  static final int SAMPLE_ONE_IN = 20;

  /**
   * Time for which the writer collects lines, in milliseconds; batches save wake-ups and writes.
   */
  private static final long BATCH_DELAY_MS = 200;

  /** Histogram bounds of call durations, in milliseconds; objectives range from 100 to 2,500. */
  private static final double[] DURATION_BUCKETS_MS = {
    25, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800
  };

  /** Event of the last line, after which the writer thread ends. */
  private static final String CLOSE_EVENT = "log_closed";

  /** Time limit for writing the last lines at a shutdown, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MS = 200;

  private final BlockingQueue<String> lines;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Counter droppedCounter;
  private final MeterRegistry metrics;
  private final AccountMetrics accountMetrics;
  private final CountDownLatch closing = new CountDownLatch(1);
  private final Thread writer;
  private final AccountCounts accounts;
  private long routineCalls;

  DecisionLog(PrintStream out, MeterRegistry metrics) {
    this(out, metrics, MAX_QUEUED_LINES);
  }

  DecisionLog(PrintStream out, MeterRegistry metrics, int maxQueuedLines) {
    this.out = out;
    this.metrics = metrics;
    this.accountMetrics = new AccountMetrics(metrics);
    this.lines = new ArrayBlockingQueue<>(maxQueuedLines);
    this.accounts = new AccountCounts(metrics, System.currentTimeMillis());
    this.droppedCounter = metrics.counter("limpetdoor.log.dropped.lines");
    this.writer = new Thread(this::writeLines, "log-writer");
    this.writer.setDaemon(true);
    this.writer.start();
  }

  /** Counts a decision, and writes its line unless it is routine and not sampled. */
  void record(Decision decision) {
    countDecision(decision);
    if (decision instanceof CallDecision call) {
      accounts.count(call);
      accounts.takeLines(System.currentTimeMillis()).forEach(this::write);
    }
    boolean routine = isRoutine(decision);
    if (routine && routineCalls++ % SAMPLE_ONE_IN != 0) {
      return;
    }
    LogLine line = LogLine.of(decision);
    write(routine ? line.with("sampled_one_in", SAMPLE_ONE_IN) : line);
  }

  /** Queues a line, or counts it as dropped if the queue is full. */
  void write(LogLine line) {
    if (!lines.offer(line.with("at_ms", System.currentTimeMillis()).toString())) {
      dropped.incrementAndGet();
      droppedCounter.increment();
    }
  }

  /**
   * Writes the queued lines and ends. If the reader of the output has stopped, gives up after
   * {@value #CLOSE_TIMEOUT_MS} ms.
   */
  @Override
  public void close() {
    write(LogLine.event(CLOSE_EVENT));
    closing.countDown();
    try {
      writer.join(CLOSE_TIMEOUT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns whether a decision routed or completed a call at its first attempt. */
  private static boolean isRoutine(Decision decision) {
    if (!(decision instanceof CallDecision call)) {
      return false;
    }
    boolean first = call.call().attempts() <= 1;
    boolean routed = call.kind() == DecisionKind.CALL_ROUTED;
    boolean completed =
        call.kind() == DecisionKind.CALL_ENDED && call.details().get(0).value().equals("completed");
    return first && (routed || completed);
  }

  private void countDecision(Decision decision) {
    String reason = fieldValue(decision, "reason");
    String route = decision instanceof CallDecision call ? call.call().route() : "none";
    if (decision instanceof CallDecision call) {
      accountMetrics.count(call);
    }
    if (decision.kind() == DecisionKind.CALL_ENDED) {
      durationSummary(route, reason).record(Double.parseDouble(fieldValue(decision, "took_ms")));
    }
    if (decision.kind() == DecisionKind.CALL_REFUSED) {
      countFailure(decision, route);
    }
    metrics
        .counter(
            "limpetdoor.decisions",
            "kind",
            decision.kind().eventName(),
            "reason",
            reason,
            "route",
            route)
        .increment();
  }

  private void countFailure(Decision decision, String route) {
    String aborted = fieldValue(decision, "broken_off");
    String cause = fieldValue(decision, "cause");
    metrics
        .counter("limpetdoor.calls.failed", "cause", cause, "broken_off", aborted, "route", route)
        .increment();
  }

  private DistributionSummary durationSummary(String route, String reason) {
    return DistributionSummary.builder("limpetdoor.call.duration.ms")
        .tag("route", route)
        .tag("reason", reason)
        .serviceLevelObjectives(DURATION_BUCKETS_MS)
        .register(metrics);
  }

  private static String fieldValue(Decision decision, String key) {
    return decision.fields().stream()
        .filter(field -> field.key().equals(key))
        .map(Decision.Field::value)
        .findFirst()
        .orElse("none");
  }

  private void writeLines() {
    try {
      boolean last = false;
      while (!last) {
        String first = lines.take();
        closing.await(BATCH_DELAY_MS, TimeUnit.MILLISECONDS);
        last = writeBatch(first);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Writes the first and all queued lines, and returns whether the last line of the log is among
   * them.
   */
  private boolean writeBatch(String first) {
    List<String> batch = new ArrayList<>();
    batch.add(first);
    lines.drainTo(batch);
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      batch.add(LogLine.event("log_lines_dropped").with("lines", lost).toString());
    }
    out.println(String.join("\n", batch));
    out.flush();
    return batch.stream().anyMatch(line -> line.startsWith("event=" + CLOSE_EVENT));
  }
}
