package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * An engine has sent nothing for longer than expected; the attempt is still open.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param call number of the call
 * @param attempt number of the attempt, from 1
 */
public record ForwardSilent(long atMs, long call, int attempt) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.FORWARD_SILENT;
  }
}
