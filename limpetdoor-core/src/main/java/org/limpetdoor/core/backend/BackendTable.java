package org.limpetdoor.core.backend;

import java.util.function.UnaryOperator;
import org.limpetdoor.core.id.BackendId;
import org.pcollections.HashTreePMap;
import org.pcollections.PMap;

/**
 * State of the back ends for which this instance has processed events.
 *
 * @param states state by back end; a back end without an entry has the state {@link
 *     BackendState#UNKNOWN}
 * @param suspects requests that are suspected of crashing engines
 */
public record BackendTable(PMap<BackendId, BackendState> states, CrashSuspects suspects) {
  /** A table without entries. */
  public static final BackendTable EMPTY =
      new BackendTable(HashTreePMap.empty(), CrashSuspects.NONE);

  /** Returns the state of a back end. */
  public BackendState get(BackendId id) {
    return states.getOrDefault(id, BackendState.UNKNOWN);
  }

  /** Returns a copy in which a change was applied to the state of one back end. */
  public BackendTable update(BackendId id, UnaryOperator<BackendState> change) {
    return new BackendTable(states.plus(id, change.apply(get(id))), suspects);
  }

  /** Returns a copy with the given crash suspects. */
  public BackendTable withSuspects(CrashSuspects value) {
    return new BackendTable(states, value);
  }
}
