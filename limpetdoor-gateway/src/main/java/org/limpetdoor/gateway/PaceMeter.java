package org.limpetdoor.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.limpetdoor.core.event.EnginePaceChanged;
import org.limpetdoor.core.id.BackendId;

/**
 * Measures the time between events of the streams of each engine, and reports it when it has
 * changed markedly. All streams of an engine advance together, so that any of them shows the pace.
 * Used by the traffic thread only.
 */
final class PaceMeter {
  /**
   * Factor by which the time must differ from the one reported last. A neighbour slows an engine by
   * two and more; one prompt of usual length lengthens one gap by less than this.
   */
  private static final double REPORT_FACTOR = 1.6;

  /**
   * Time after which the pace is reported again without a change, in milliseconds, so that an
   * observation that lasts does not become old.
   */
  private static final long REPEAT_INTERVAL_MS = 700;

  /** Events closer than this left the engine together and were held up on the way. */
  private static final long MIN_GAP_MS = 3;

  private final EngineAttempt.EventSink eventSink;
  private final Map<BackendId, Report> lastReports = new HashMap<>();

  /**
   * What was reported last of an engine.
   *
   * @param gapMs time between two events, in milliseconds
   * @param atNs when, in nanoseconds of the system's steady clock
   */
  private record Report(long gapMs, long atNs) {}

  PaceMeter(EngineAttempt.EventSink eventSink) {
    this.eventSink = eventSink;
  }

  /**
   * Notes the time between two events of one stream.
   *
   * @param engine the engine
   * @param gapMs the time, in milliseconds
   * @param nowNs now, in nanoseconds of the system's steady clock
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

  /** Forgets engines that have shown no stream for long, so that the table stays small. */
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
