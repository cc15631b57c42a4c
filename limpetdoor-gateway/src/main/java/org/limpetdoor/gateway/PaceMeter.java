package org.limpetdoor.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.id.BackendId;

/**
 * Measures the time between stream events of each engine and reports significant changes. All
 * streams of an engine advance together, so any of them shows the engine's pace. Confined to the
 * traffic thread.
 */
final class PaceMeter {
  /**
   * Factor by which the time must differ from the last reported one. A noisy neighbour slows an
   * engine by a factor of two or more; a prompt of usual length lengthens one gap by less than this
   * factor.
   */
  private static final double REPORT_FACTOR = 1.6;

  /**
   * Time after which an unchanged pace is reported again, in milliseconds, so that the last report
   * of a steady pace doesn't become outdated.
   */
  private static final long REPEAT_INTERVAL_MS = 700;

  /** Shorter gaps are ignored: the events were delayed on the way and arrived together. */
  private static final long MIN_GAP_MS = 3;

  private final EngineAttempt.EventSink eventSink;
  private final Map<BackendId, Report> lastReports = new HashMap<>();

  /**
   * The last report about an engine.
   *
   * @param gapMs time between two events, in milliseconds
   * @param atNs time of the report, in nanoseconds of {@link System#nanoTime}
   */
  private record Report(long gapMs, long atNs) {}

  PaceMeter(EngineAttempt.EventSink eventSink) {
    this.eventSink = eventSink;
  }

  /**
   * Records the time between two events of one stream.
   *
   * @param engine engine that sent the events
   * @param gapMs time between the events, in milliseconds
   * @param nowNs current time, in nanoseconds of {@link System#nanoTime}
   */
  void recordGap(BackendId engine, long gapMs, long nowNs) {
    if (gapMs < MIN_GAP_MS) {
      return;
    }
    Report previous = lastReports.get(engine);
    if (previous != null && !shouldReport(previous, gapMs, nowNs)) {
      return;
    }
    lastReports.put(engine, new Report(gapMs, nowNs));
    eventSink.submit(atMs -> new EnginePaceChanged(atMs, engine, gapMs));
  }

  /** Removes engines that have had no report since the given time, so that the map stays small. */
  void removeOlderThan(long atNs) {
    lastReports.values().removeIf(report -> report.atNs() - atNs < 0);
  }

  private static boolean shouldReport(Report previous, long gapMs, long nowNs) {
    boolean old = nowNs - previous.atNs() > TimeUnit.MILLISECONDS.toNanos(REPEAT_INTERVAL_MS);
    boolean slower = gapMs > previous.gapMs() * REPORT_FACTOR;
    boolean faster = gapMs * REPORT_FACTOR < previous.gapMs();
    return old || slower || faster;
  }
}
