package org.limpetdoor.core.gateway;

/**
 * The duty to order models and adapters, which one instance holds at a time. The store deals it;
 * its generation is the fencing number of orders.
 *
 * @param generation the last generation that the store told
 * @param held whether the store dealt the duty to this instance
 * @param heldSinceMs when this instance first heard so, in monotonic milliseconds
 * @param validUntilMs time until which the store cannot have dealt it to another instance
 * @param nextJoinAtMs when the store is asked again
 */
record Duty(long generation, boolean held, long heldSinceMs, long validUntilMs, long nextJoinAtMs) {
  /** Nothing was heard from the store yet. */
  static final Duty NONE = new Duty(0, false, 0, 0, 0);

  /** Time without a word after which the store deals the duty to another instance. */
  static final long TTL_MS = 3_000;

  /** Interval of the words to the store; two may be lost before the duty lapses. */
  static final long JOIN_INTERVAL_MS = 900;

  /** Margin for clock rates and for orders on their way when the duty lapses, in milliseconds. */
  static final long MARGIN_MS = 300;

  /** Returns whether this instance may give orders now. */
  boolean acts(long nowMs, long leaseMs) {
    return held && nowMs < validUntilMs && nowMs >= heldSinceMs + leaseMs + MARGIN_MS;
  }

  Duty answered(long nowMs, long requestedAtMs, long newGeneration, boolean dealt) {
    if (newGeneration < generation) {
      return this;
    }
    boolean lapsed = !held || nowMs >= validUntilMs;
    long sinceMs = dealt && lapsed ? nowMs : heldSinceMs;
    long untilMs = dealt ? requestedAtMs + TTL_MS - MARGIN_MS : 0;
    return new Duty(newGeneration, dealt, sinceMs, untilMs, nextJoinAtMs);
  }

  Duty joining(long nowMs) {
    return new Duty(generation, held, heldSinceMs, validUntilMs, nowMs + JOIN_INTERVAL_MS);
  }

  /** Gives up after an engine has seen a higher fencing number. */
  Duty fenced() {
    return new Duty(generation, false, heldSinceMs, 0, nextJoinAtMs);
  }
}
