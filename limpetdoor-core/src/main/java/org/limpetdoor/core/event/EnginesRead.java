package org.limpetdoor.core.event;

import java.util.List;
import org.limpetdoor.core.EventKind;
import org.limpetdoor.core.gateway.EngineEntry;
import org.limpetdoor.core.id.BackendId;

/**
 * Entries of the engine list were read.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param entries new or changed entries
 * @param removed engines whose entries were removed
 * @param complete whether the entries are the complete list, so that all other engines are removed
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
