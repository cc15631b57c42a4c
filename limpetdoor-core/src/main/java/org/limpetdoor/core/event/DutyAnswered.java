package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * The store has answered whether this instance holds the placement duty.
 *
 * @param atMs when, in monotonic milliseconds
 * @param requestedAtMs when the question was sent, in monotonic milliseconds
 * @param generation number that rises with each change of the holders
 * @param held whether this instance holds the duty
 */
public record DutyAnswered(long atMs, long requestedAtMs, long generation, boolean held)
    implements Event {
  @Override
  public EventKind kind() {
    return EventKind.DUTY_ANSWERED;
  }
}
