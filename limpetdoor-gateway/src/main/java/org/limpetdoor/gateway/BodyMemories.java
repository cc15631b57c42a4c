package org.limpetdoor.gateway;

import org.limpetdoor.runtime.BodyMemory;

/**
 * Memories of the message bodies that a gateway holds.
 *
 * @param requests bodies of requests that are being received or whose calls are open
 * @param responses bodies of responses that are being received or may still be relayed
 */
record BodyMemories(BodyMemory requests, BodyMemory responses) {
  /** Part of the heap for each kind; state, buffers of sockets and copies need the rest. */
  private static final int HEAP_DIVISOR = 5;

  /** Creates the memories of a process. */
  static BodyMemories ofHeap() {
    return new BodyMemories(BodyMemory.ofHeap(HEAP_DIVISOR), BodyMemory.ofHeap(HEAP_DIVISOR));
  }
}
