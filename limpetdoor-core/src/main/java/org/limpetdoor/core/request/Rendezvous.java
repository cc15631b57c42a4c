package org.limpetdoor.core.request;

/** Hash weights for rendezvous hashing. They are the same on each instance and in each run. */
public final class Rendezvous {
  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Rendezvous() {}

  /** Returns a hash of a text. */
  public static long hash(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Returns the weight of a pair; the candidate with the highest weight for a key is chosen. */
  public static long weight(long key, long candidate) {
    return mix(key ^ Long.rotateLeft(candidate, 32));
  }

  /** The finalizer of MurmurHash3, which spreads similar keys evenly. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }
}
