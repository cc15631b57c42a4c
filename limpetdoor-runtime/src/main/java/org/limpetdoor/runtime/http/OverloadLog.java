package org.limpetdoor.runtime.http;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.limpetdoor.core.decision.OverloadReason;
import org.limpetdoor.runtime.decision.LogLine;

/**
 * Counts what is refused for overload, and logs it in one line a second at most, since a crowd of
 * callers would otherwise fill the log. Confined to the traffic thread.
 */
public final class OverloadLog implements Consumer<OverloadReason> {
  private static final long INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

  private final MeterRegistry metrics;
  private final Consumer<LogLine> log;
  private final LongSupplier nanoTime;
  private final Map<OverloadReason, Integer> unlogged = new EnumMap<>(OverloadReason.class);
  private long loggedAtNs;

  /**
   * Creates a log without counts.
   *
   * @param nanoTime monotonic clock, in nanoseconds
   */
  public OverloadLog(MeterRegistry metrics, Consumer<LogLine> log, LongSupplier nanoTime) {
    this.metrics = metrics;
    this.log = log;
    this.nanoTime = nanoTime;
    this.loggedAtNs = nanoTime.getAsLong() - INTERVAL_NS;
  }

  @Override
  public void accept(OverloadReason reason) {
    metrics.counter("limpetdoor.overload", "reason", reason.label()).increment();
    unlogged.merge(reason, 1, Integer::sum);
    flush();
  }

  /** Logs what has been counted since the last line, if that is a second ago. */
  public void flush() {
    long nowNs = nanoTime.getAsLong();
    if (unlogged.isEmpty() || nowNs - loggedAtNs < INTERVAL_NS) {
      return;
    }
    LogLine line = LogLine.event("overload");
    for (Map.Entry<OverloadReason, Integer> entry : unlogged.entrySet()) {
      line = line.with(entry.getKey().label(), entry.getValue());
    }
    log.accept(line);
    unlogged.clear();
    loggedAtNs = nowNs;
  }
}
