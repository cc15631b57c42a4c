package org.limpetdoor.core.event;

import org.limpetdoor.core.EventKind;

/**
 * An answer of the store stated a later era than all earlier ones.
 *
 * @param atMs time of the event, in monotonic milliseconds
 * @param era the era, which rises by one each time the store is restored from a copy
 */
public record StoreEraObserved(long atMs, long era) implements Event {
  @Override
  public EventKind kind() {
    return EventKind.STORE_ERA_OBSERVED;
  }
}
