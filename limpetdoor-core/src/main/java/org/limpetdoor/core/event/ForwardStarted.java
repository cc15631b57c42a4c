package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The first event of a streamed response was relayed to the caller.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param call number of the call
 * @param attempt number of the attempt, from 1
 */
public record ForwardStarted(long atMs, long call, int attempt) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.FORWARD_STARTED;
  }
}
