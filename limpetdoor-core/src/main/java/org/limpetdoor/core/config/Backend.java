package org.limpetdoor.core.config;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ZoneId;

/** Something that runs calls: an engine or an endpoint of a plain service. */
public interface Backend {
  /** Returns the identifier. */
  BackendId id();

  /** Returns the zone that it runs in. */
  ZoneId zone();

  /** Returns the address as {@code ip:port}. */
  String address();

  /** Returns how many calls it runs at once without queueing, at least 1. */
  int slots();
}
