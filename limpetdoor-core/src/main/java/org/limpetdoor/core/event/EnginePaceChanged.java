package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.id.BackendId;

/**
 * The time between events in the streams of an engine has changed considerably.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param engine the engine
 * @param gapMs time between the last two events of one stream, in milliseconds
 */
public record EnginePaceChanged(long atMs, BackendId engine, long gapMs) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.ENGINE_PACE_CHANGED;
  }
}
