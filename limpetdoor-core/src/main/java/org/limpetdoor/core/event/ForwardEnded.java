package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.ForwardResult;

/**
 * An attempt of a forwarded call has ended.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param call number of the call
 * @param attempt number of the attempt, from 1
 * @param result result of the attempt
 * @param delivered whether the caller has received part of the response
 */
public record ForwardEnded(
    long atMs, long call, int attempt, ForwardResult result, boolean delivered) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.FORWARD_ENDED;
  }
}
