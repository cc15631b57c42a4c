package org.limpetdoor.core.gateway;

/** Order of an era of the store that was stated to the latest era that is known. */
public enum EraOrder {
  /** Stated by an answer that was delayed; its contents may be gone. */
  EARLIER,
  /** The known era. */
  SAME,
  /** The store was restored from a copy; what was read before may be gone. */
  LATER;

  /** Returns the order of a stated era to the latest known one. */
  public static EraOrder of(long stated, long known) {
    if (stated == known) {
      return SAME;
    }
    return stated < known ? EARLIER : LATER;
  }
}
