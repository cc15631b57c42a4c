package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.BackendId;

/**
 * The time between the events of an engine's streams has changed markedly.
 *
 * @param atMs when, in monotonic milliseconds
 * @param engine the engine
 * @param gapMs time between its last two events of one stream, in milliseconds
 */
public record EnginePaceChanged(long atMs, BackendId engine, long gapMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINE_PACE_CHANGED;
  }
}
