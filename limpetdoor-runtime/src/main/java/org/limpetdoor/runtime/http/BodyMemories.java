package org.limpetdoor.runtime.http;

import org.limpetdoor.runtime.BodyMemory;

/**
 * Memories of the messages that a gateway holds for callers. Their sum is bounded by both parts;
 * each has its own so that a flood of requests leaves memory for responses.
 *
 * @param requests heads and bodies of requests that are being received or whose calls are open
 * @param responses bodies of responses that are being received, may still be relayed or have not
 *     been taken by the socket of the caller
 */
public record BodyMemories(BodyMemory requests, BodyMemory responses) {
  /** Part of the heap for each kind; state, buffers of sockets and copies need the rest. */
  private static final int HEAP_DIVISOR = 5;

  /** Creates the memories of a process. */
  public static BodyMemories ofHeap() {
    return new BodyMemories(BodyMemory.ofHeap(HEAP_DIVISOR), BodyMemory.ofHeap(HEAP_DIVISOR));
  }
}
