package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The store answered whether this instance holds the placement duty.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param requestedAtMs time at which the request was sent, in monotonic milliseconds
 * @param era era of the store that answered
 * @param generation the store's number of the group, which rises with each change of the holders
 * @param held whether this instance holds the duty
 */
public record DutyAnswered(long atMs, long requestedAtMs, long era, long generation, boolean held)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.DUTY_ANSWERED;
  }
}
