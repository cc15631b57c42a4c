package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineNotice;
import org.limpetdoor.core.id.BackendId;

/**
 * The head of a response of an engine has arrived, and the engine states something about itself in
 * it.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param engine the engine
 * @param startedAtMs start of the engine that the request was sent to, in Unix milliseconds
 * @param notice what the engine states
 */
public record EngineNoticeReceived(
    long atMs, BackendId engine, long startedAtMs, EngineNotice notice) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINE_NOTICE_RECEIVED;
  }
}
