package org.limpetdoor.core.config;

import org.limpetdoor.core.id.BackendId;
import org.limpetdoor.core.id.ZoneId;

/** A back end that runs calls: an engine or an endpoint of a plain service. */
public interface Backend {
  /** Returns the identifier. */
  BackendId id();

  /** Returns the zone that it runs in. */
  ZoneId zone();

  /** Returns the address as {@code ip:port}. */
  String address();

  /** Returns the number of calls that it runs concurrently without queueing, at least 1. */
  int slots();
}
