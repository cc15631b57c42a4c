package org.limpetdoor.core.request;

/** Class of work by predicted length. */
public enum WorkClass {
  /** Work that is expected to end soon. */
  SHORT(0, 1.0),
  /**
   * Work that is expected to occupy its slot for long; it gets at most half of the slots of an
   * engine.
   */
  LONG(1, 0.5),
  /** Work that may crash engines; it is queued separately, because it needs an idle engine. */
  SUSPECT(0, 1.0);

  private final int enginePriority;
  private final double maxSlotShare;

  WorkClass(int enginePriority, double maxSlotShare) {
    this.enginePriority = enginePriority;
    this.maxSlotShare = maxSlotShare;
  }

  /** Returns the class of a request with the given predicted output. */
  public static WorkClass of(int predictedTokens, int longWorkTokens) {
    return predictedTokens >= longWorkTokens ? LONG : SHORT;
  }

  /** Returns the priority sent to engines; 0 is served first. */
  public int enginePriority() {
    return enginePriority;
  }

  /** Returns the number of slots of an engine that work of this class may occupy, at least 1. */
  public int maxSlots(int slots) {
    return Math.max(1, (int) (slots * maxSlotShare));
  }
}
