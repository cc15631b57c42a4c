package org.limpetdoor.gateway;

import org.limpetdoor.core.event.EngineNoticeReceived;
import org.limpetdoor.core.gateway.EngineNotice;
import org.limpetdoor.core.id.BackendId;

/**
 * Reports what engines state about themselves in the heads of their responses. Confined to the
 * traffic thread.
 */
final class EngineNotices {
  private final EngineAttempt.EventSink eventSink;

  EngineNotices(EngineAttempt.EventSink eventSink) {
    this.eventSink = eventSink;
  }

  /**
   * Called when the head of a response has arrived.
   *
   * @param startedAtMs start of the engine that the request was sent to, in Unix milliseconds
   */
  void received(BackendId engine, long startedAtMs, EngineNotice notice) {
    if (!notice.equals(EngineNotice.NONE)) {
      eventSink.submit(atMs -> new EngineNoticeReceived(atMs, engine, startedAtMs, notice));
    }
  }
}
