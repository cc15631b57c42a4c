package org.limpetdoor.entry.operator;

/** Starts a graceful shutdown of the instance. */
@FunctionalInterface
public interface DrainTrigger {
  /** Stops accepting requests and returns at once; a second call has no effect. */
  void request();
}
