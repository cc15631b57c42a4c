package org.limpetdoor.core.limits;

/**
 * Decides how long a buffer may become that shares a memory with others: as long as the memory that
 * is free. This is the dynamic threshold of Choudhury and Hahne ("Dynamic queue length thresholds
 * for shared-memory packet switches", 1998) with a factor of 1.
 *
 * <p>It answers the load at which many peers send long or endless messages at once: the long ones
 * are refused first, and memory for short ones remains.
 *
 * @param capacityBytes size of the shared memory, in bytes
 */
public record BufferThreshold(long capacityBytes) {
  /** Checks the size. */
  public BufferThreshold {
    if (capacityBytes < 0) {
      throw new IllegalArgumentException("capacityBytes is negative: " + capacityBytes);
    }
  }

  /**
   * Returns whether a buffer may grow.
   *
   * @param bufferBytes its length afterwards, in bytes
   * @param usedBytes length of all buffers afterwards, in bytes
   */
  public boolean allows(long bufferBytes, long usedBytes) {
    return bufferBytes <= capacityBytes - usedBytes;
  }
}
