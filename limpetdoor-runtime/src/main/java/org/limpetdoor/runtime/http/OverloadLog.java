package org.limpetdoor.runtime.http;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.runtime.decision.LogLine;

/**
 * Counts what is refused for overload, and logs it in one line a second at most, since a crowd of
 * callers would otherwise fill the log. Safe for use by any thread.
 */
public final class OverloadLog implements Consumer<OverloadReason> {
  private static final long INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

  private final MeterRegistry metrics;
  private final Consumer<LogLine> log;
  private final LongSupplier nanoTime;
  private final Map<OverloadReason, AtomicInteger> unlogged = new EnumMap<>(OverloadReason.class);
  private final AtomicLong loggedAtNs;

  /**
   * Creates a log without counts.
   *
   * @param nanoTime monotonic clock, in nanoseconds
   */
  public OverloadLog(MeterRegistry metrics, Consumer<LogLine> log, LongSupplier nanoTime) {
    this.metrics = metrics;
    this.log = log;
    this.nanoTime = nanoTime;
    this.loggedAtNs = new AtomicLong(nanoTime.getAsLong() - INTERVAL_NS);
    for (OverloadReason reason : OverloadReason.values()) {
      unlogged.put(reason, new AtomicInteger());
    }
  }

  @Override
  public void accept(OverloadReason reason) {
    metrics.counter("limpetdoor.overload", "reason", reason.label()).increment();
    unlogged.get(reason).incrementAndGet();
    flush();
  }

  /** Logs what has been counted since the last line, if that is a second ago. */
  public void flush() {
    long nowNs = nanoTime.getAsLong();
    long lastNs = loggedAtNs.get();
    boolean counted = unlogged.values().stream().anyMatch(count -> count.get() > 0);
    if (!counted || nowNs - lastNs < INTERVAL_NS || !loggedAtNs.compareAndSet(lastNs, nowNs)) {
      return;
    }
    LogLine line = LogLine.event("overload");
    for (Map.Entry<OverloadReason, AtomicInteger> entry : unlogged.entrySet()) {
      int count = entry.getValue().getAndSet(0);
      if (count > 0) {
        line = line.with(entry.getKey().label(), count);
      }
    }
    log.accept(line);
  }
}
