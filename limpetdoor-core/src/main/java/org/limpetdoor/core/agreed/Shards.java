package org.limpetdoor.core.agreed;

import org.limpetdoor.core.id.BackendId;

/** Assignment of engines to shards, and the hash that it uses. */
public final class Shards {
  /** Number of shards. Instances of different versions must agree on it. */
  public static final int COUNT = 64;

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Shards() {}

  /** Returns the shard of an engine, from 0 to {@link #COUNT} - 1. */
  public static int of(BackendId engine) {
    return (int) Long.remainderUnsigned(hash(engine.value()), COUNT);
  }

  /**
   * Returns a hash of a text that is the same in each process (FNV-1a with a final mix, because the
   * high bits of FNV-1a alone vary little over short names).
   */
  public static long hash(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }

  /** Returns the rendezvous weight of a candidate for a subject; the highest weight ranks first. */
  public static long weight(String subject, String candidate) {
    return hash(subject + "|" + candidate);
  }
}
