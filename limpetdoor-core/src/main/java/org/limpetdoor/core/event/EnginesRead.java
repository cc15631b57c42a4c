package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineEntry;
import org.limpetdoor.core.id.BackendId;

/**
 * Entries of the list of engines were read.
 *
 * @param atMs when, in monotonic milliseconds
 * @param entries entries that are new or have changed
 * @param removed engines whose entries were removed
 * @param complete whether the entries are the whole list, so that others are gone
 */
public record EnginesRead(
    long atMs, List<EngineEntry> entries, List<BackendId> removed, boolean complete)
    implements Event {
  /** Copies the lists. */
  public EnginesRead {
    entries = List.copyOf(entries);
    removed = List.copyOf(removed);
  }

  @Override
  public EventKind kind() {
    return EventKind.ENGINES_READ;
  }
}
