package org.limpetdoor.gateway;

import java.util.function.Function;
import org.limpetdoor.core.event.Event;
import org.limpetdoor.runtime.decision.LogLine;

/** Reads the topics of the store and submits their contents. Confined to the traffic thread. */
public interface StoreFollower {
  /** Receives what was read. */
  interface Sink {
    /** Submits an event. The function creates it from its time in monotonic milliseconds. */
    void submit(Function<Long, Event> event);

    /** Writes a line to the log. */
    void log(LogLine line);
  }

  /**
   * Follows the topics, starting with the newest record of each key, or changes the interval of a
   * follower that was started.
   *
   * @param engineIntervalMs interval between reads of the list of engines, in milliseconds
   */
  void follow(long engineIntervalMs);

  /**
   * Ignores answers of earlier eras from now on, starts again with the newest records, and writes
   * the entry of this instance, unless the era is known already.
   */
  void adoptEra(long era);

  /** Stops reading. Responses that arrive later are ignored. */
  void stop();
}
