package org.limpetdoor.runtime;

import java.util.concurrent.atomic.AtomicLong;
import org.limpetdoor.core.limits.BufferThreshold;

/** Memory that the message bodies of one kind share in a process. Safe for use by any thread. */
public final class BodyMemory {
  private final BufferThreshold threshold;
  private final AtomicLong usedBytes = new AtomicLong();

  private BodyMemory(BufferThreshold threshold) {
    this.threshold = threshold;
  }

  /**
   * Creates a memory.
   *
   * @param capacityBytes size, in bytes
   */
  public static BodyMemory ofBytes(long capacityBytes) {
    return new BodyMemory(new BufferThreshold(capacityBytes));
  }

  /**
   * Creates a memory that is a part of the largest heap of the process.
   *
   * @param divisor the heap is divided by this number
   */
  public static BodyMemory ofHeap(int divisor) {
    return ofBytes(Runtime.getRuntime().maxMemory() / divisor);
  }

  /** Reserves nothing yet for a body. */
  public Reservation reserve() {
    return new Reservation();
  }

  /** Returns the length of all reservations, in bytes. */
  public long usedBytes() {
    return usedBytes.get();
  }

  /** What one body has reserved until it is closed. Confined to one thread at a time. */
  public final class Reservation implements AutoCloseable {
    private long reservedBytes;

    private Reservation() {}

    /**
     * Reserves more, and returns whether the body may grow.
     *
     * @param addedBytes growth of the body, in bytes
     */
    public boolean tryGrow(long addedBytes) {
      long used = usedBytes.addAndGet(addedBytes);
      if (!threshold.allows(reservedBytes + addedBytes, used)) {
        usedBytes.addAndGet(-addedBytes);
        return false;
      }
      reservedBytes += addedBytes;
      return true;
    }

    /**
     * Reserves more for bytes that are there already, and returns whether more may follow them.
     *
     * @param addedBytes growth of the body, in bytes
     */
    public boolean grow(long addedBytes) {
      reservedBytes += addedBytes;
      return threshold.allows(reservedBytes, usedBytes.addAndGet(addedBytes));
    }

    /** Releases a part. */
    public void shrink(long removedBytes) {
      reservedBytes -= removedBytes;
      usedBytes.addAndGet(-removedBytes);
    }

    /**
     * Moves what is reserved to a new reservation, which has another owner and may be used by
     * another thread. This one then reserves nothing.
     */
    public Reservation detach() {
      Reservation moved = new Reservation();
      moved.reservedBytes = reservedBytes;
      reservedBytes = 0;
      return moved;
    }

    @Override
    public void close() {
      usedBytes.addAndGet(-reservedBytes);
      reservedBytes = 0;
    }
  }
}
