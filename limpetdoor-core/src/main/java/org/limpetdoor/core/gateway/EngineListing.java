package org.limpetdoor.core.gateway;

import java.util.List;
import org.limpetdoor.core.id.BackendId;

/**
 * Changes of the list of engines in a range of the store's log, or the complete list. Ranges are
 * applied in order, so that an instance that receives them from several others never goes back.
 *
 * @param era era of the store in which the range was read
 * @param fromOffset offset at which the range starts; 0 for the complete list
 * @param toOffset offset at which the range ends (exclusive)
 * @param entries new or changed entries
 * @param removed engines whose entries were removed
 * @param complete whether the entries are the complete list, so that all other engines are removed
 */
public record EngineListing(
    long era,
    long fromOffset,
    long toOffset,
    List<EngineEntry> entries,
    List<BackendId> removed,
    boolean complete) {
  /** Copies the lists. */
  public EngineListing {
    entries = List.copyOf(entries);
    removed = List.copyOf(removed);
  }

  /** Returns the position at which the range ends. */
  StorePosition end() {
    return new StorePosition(era, toOffset);
  }

  /** Returns whether these changes are already contained in a list that ends at the position. */
  boolean isContainedIn(StorePosition listPosition) {
    return !end().isAfter(listPosition) && !(complete && end().equals(listPosition));
  }

  /**
   * Returns whether changes are missing between a list that ends at the position and these. Changes
   * of an era do not continue a list of an earlier one.
   */
  boolean leavesGapAfter(StorePosition listPosition) {
    return !complete && (era > listPosition.era() || fromOffset > listPosition.offset());
  }

  boolean isEmpty() {
    return entries.isEmpty() && removed.isEmpty() && !complete;
  }
}
