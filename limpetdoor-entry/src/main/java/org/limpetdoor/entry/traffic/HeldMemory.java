package org.limpetdoor.entry.traffic;

import java.util.concurrent.atomic.AtomicReference;
import org.limpetdoor.runtime.BodyMemory;

/**
 * Holds a reservation that one thread makes and another one releases, in any order. Safe for use by
 * any thread.
 */
final class HeldMemory implements AutoCloseable {
  private final AtomicReference<BodyMemory.Reservation> held = new AtomicReference<>();
  private volatile boolean closed;

  /** Takes over a reservation, and releases it at once if this holder has been closed. */
  void hold(BodyMemory.Reservation reservation) {
    held.set(reservation);
    if (closed) {
      release();
    }
  }

  /** Releases the reservation; one that follows is released at once. */
  @Override
  public void close() {
    closed = true;
    release();
  }

  private void release() {
    BodyMemory.Reservation reservation = held.getAndSet(null);
    if (reservation != null) {
      reservation.close();
    }
  }
}
