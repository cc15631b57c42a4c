package org.limpetdoor.gateway;

import java.util.HashMap;
import java.util.Map;
import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.gateway.EngineNotice;
import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.runtime.MonotonicClock;

/**
 * Reports what engines state about themselves in the heads of their responses, and knows which
 * engines accept no requests at the moment. The reducer decides on the same facts, but requests
 * that it has already decided to send may still wait for the traffic thread or a connection.
 * Confined to the traffic thread.
 */
final class EngineNotices {
  private final MonotonicClock clock;
  private final EngineAttempt.EventSink eventSink;
  private final Map<BackendId, Closure> closures = new HashMap<>();

  /**
   * A time for which an engine accepts no requests.
   *
   * @param startedAtMs start of the engine, in Unix milliseconds
   * @param untilMs end of the time, in monotonic milliseconds
   */
  private record Closure(long startedAtMs, long untilMs) {
    /** Returns the one of the later start, or of the later end if the start is the same. */
    Closure latest(Closure other) {
      if (startedAtMs != other.startedAtMs) {
        return startedAtMs > other.startedAtMs ? this : other;
      }
      return untilMs >= other.untilMs ? this : other;
    }
  }

  EngineNotices(MonotonicClock clock, EngineAttempt.EventSink eventSink) {
    this.clock = clock;
    this.eventSink = eventSink;
  }

  /**
   * Called when the head of a response has arrived.
   *
   * @param startedAtMs start of the engine that the request was sent to, in Unix milliseconds
   */
  void received(BackendId engine, long startedAtMs, EngineNotice notice) {
    if (notice.equals(EngineNotice.NONE)) {
      return;
    }
    if (notice.retryAfterMs() > 0) {
      // Taken before the time of the event, so that the reducer does not reopen the engine earlier.
      Closure closure = new Closure(startedAtMs, clock.nowMs() + notice.retryAfterMs());
      closures.merge(engine, closure, Closure::latest);
    }
    eventSink.submit(atMs -> new EngineNoticeReceived(atMs, engine, startedAtMs, notice));
  }

  /**
   * Returns whether an engine accepts no requests at the moment.
   *
   * @param startedAtMs start of the engine that the request is for, in Unix milliseconds
   */
  boolean isClosed(BackendId engine, long startedAtMs) {
    Closure closure = closures.get(engine);
    return closure != null
        && startedAtMs <= closure.startedAtMs()
        && clock.nowMs() < closure.untilMs();
  }

  /** Removes the times that have passed. */
  void removeEnded() {
    closures.values().removeIf(closure -> clock.nowMs() >= closure.untilMs());
  }
}
