package org.limpetdoor.core.gateway;

/**
 * The duty to order models and adapters, which one instance holds at a time. The store deals it;
 * its generation is the fencing number of orders.
 *
 * @param generation the last generation that the store told
 * @param held whether the store dealt the duty to this instance
 * @param heldSinceMs when this instance first heard so, in monotonic milliseconds
 * @param validUntilMs time until which the store cannot have dealt it to another instance
 * @param actsFromMs when the orders of the holder before cannot be near any more
 * @param nextJoinAtMs when the store is asked again
 * @param rival what the last other holder told of itself
 */
record Duty(
    long generation,
    boolean held,
    long heldSinceMs,
    long validUntilMs,
    long actsFromMs,
    long nextJoinAtMs,
    Rival rival) {
  /** Nothing was heard from the store yet. */
  static final Duty NONE = new Duty(0, false, 0, 0, 0, 0, Rival.NONE);

  /** Time without a word after which the store deals the duty to another instance. */
  static final long TTL_MS = 2_000;

  /** Interval of the words to the store; two may be lost before the duty lapses. */
  static final long JOIN_INTERVAL_MS = 600;

  /** Margin for clock rates and for orders on their way when the duty lapses, in milliseconds. */
  static final long MARGIN_MS = 300;

  /** Stands for a time so long ago that it does not matter. */
  private static final long LONG_AGO_MS = -1_000_000;

  /**
   * Another holder, as its digests told.
   *
   * @param fencingNumber its last fencing number
   * @param heardAtMs when it last told that it holds the duty, in monotonic milliseconds
   */
  record Rival(long fencingNumber, long heardAtMs) {
    static final Rival NONE = new Rival(0, 0);
  }

  /** Returns whether this instance may give orders now. */
  boolean acts(long nowMs) {
    return held && nowMs < validUntilMs && nowMs >= actsFromMs;
  }

  /**
   * Follows the store. Two holders may not take turns within a lease, so a new one waits. If the
   * store named no other holder since the last one that was heard, the wait begins with its last
   * word.
   */
  Duty answered(long nowMs, long requestedAtMs, long newGeneration, boolean dealt, long leaseMs) {
    if (newGeneration < generation) {
      return this;
    }
    boolean begins = dealt && (!held || nowMs >= validUntilMs);
    boolean directly = rival.fencingNumber() > 0 && newGeneration <= rival.fencingNumber() + 1;
    long quietSinceMs = directly ? rival.heardAtMs() : nowMs;
    return new Duty(
        newGeneration,
        dealt,
        begins ? nowMs : heldSinceMs,
        dealt ? requestedAtMs + TTL_MS - MARGIN_MS : 0,
        begins ? quietSinceMs + leaseMs + MARGIN_MS : actsFromMs,
        nextJoinAtMs,
        rival);
  }

  Duty joining(long nowMs) {
    return new Duty(
        generation, held, heldSinceMs, validUntilMs, actsFromMs, nowMs + JOIN_INTERVAL_MS, rival);
  }

  /** Gives up the duty, at a shutdown or after an engine has seen a higher fencing number. */
  Duty released() {
    return new Duty(generation, false, heldSinceMs, 0, actsFromMs, nextJoinAtMs, rival);
  }

  /** Notes that a peer tells that it holds the duty. */
  Duty rivalHeard(long fencingNumber, long nowMs) {
    boolean newer = fencingNumber >= rival.fencingNumber();
    return newer ? withRival(new Rival(fencingNumber, nowMs)) : this;
  }

  /** Notes that a peer gives no orders any more; its last ones do not matter then. */
  Duty rivalLeft(long fencingNumber) {
    boolean last = fencingNumber > 0 && fencingNumber == rival.fencingNumber();
    return last ? withRival(new Rival(fencingNumber, LONG_AGO_MS)) : this;
  }

  private Duty withRival(Rival value) {
    return new Duty(generation, held, heldSinceMs, validUntilMs, actsFromMs, nextJoinAtMs, value);
  }
}
