package org.limpetdoor.core.gateway;

/**
 * Loss of the connection to an engine while it ran a call.
 *
 * @param id identifier of the attempt, by which a loss that is reported several times is recognised
 * @param sentAtMs time at which the call was sent, in monotonic milliseconds
 * @param lostAtMs time at which the connection was lost, in monotonic milliseconds
 */
record EngineLoss(long id, long sentAtMs, long lostAtMs) {
  /** Returns whether the call was sent when the other loss was already known. */
  boolean isAfter(EngineLoss other) {
    return sentAtMs >= other.lostAtMs;
  }

  boolean sameAttemptAs(EngineLoss other) {
    return id == other.id;
  }
}
