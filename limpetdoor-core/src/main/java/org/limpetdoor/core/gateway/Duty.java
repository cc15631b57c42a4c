package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;

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
  static final long TTL_MS = 1_500;

  /** Interval of the words to the store; two may be lost before the duty lapses. */
  static final long JOIN_INTERVAL_MS = 450;

  /** Margin for clock rates and for orders on their way when the duty lapses, in milliseconds. */
  static final long MARGIN_MS = 300;

  /**
   * Changes of the group, such as instances that left with the holder, after which the holder that
   * was heard last is still taken to be the one before.
   */
  private static final long MAX_GENERATIONS_MISSED = 4;

  /** Stands for a time so long ago that it does not matter. */
  private static final long LONG_AGO_MS = -1_000_000;

  /**
   * Another holder, as its digests told.
   *
   * @param peer its name; empty if none was heard
   * @param fencingNumber its last fencing number
   * @param heardAtMs when it last told that it holds the duty, in monotonic milliseconds
   */
  record Rival(Optional<InstanceId> peer, long fencingNumber, long heardAtMs) {
    static final Rival NONE = new Rival(Optional.empty(), 0, 0);
  }

  /** Returns whether this instance may give orders now. */
  boolean acts(long nowMs) {
    return held && nowMs < validUntilMs && nowMs >= actsFromMs;
  }

  /** Returns whether the duty was held when the store ceased to answer. */
  boolean maySurvive(long nowMs) {
    return held && nowMs >= actsFromMs;
  }

  /**
   * Follows the store. Two holders may not take turns within a lease, so a new one waits, unless
   * the one before it is known and silent: it has failed or lost the others, and gives no orders.
   */
  Duty answered(DutyAnswered word, long nowMs, long leaseMs, boolean rivalSilent) {
    if (word.generation() < generation) {
      return this;
    }
    boolean begins = word.held() && (!held || nowMs >= validUntilMs);
    boolean successor =
        rival.fencingNumber() > 0
            && word.generation() <= rival.fencingNumber() + MAX_GENERATIONS_MISSED;
    long lastOrderMs = successor ? rival.heardAtMs() : nowMs;
    long waitMs = successor && rivalSilent ? 0 : leaseMs + MARGIN_MS;
    return new Duty(
        word.generation(),
        word.held(),
        begins ? nowMs : heldSinceMs,
        word.held() ? word.requestedAtMs() + TTL_MS - MARGIN_MS : 0,
        begins ? lastOrderMs + waitMs : actsFromMs,
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
  Duty rivalHeard(InstanceId peer, long fencingNumber, long nowMs) {
    boolean newer = fencingNumber >= rival.fencingNumber();
    return newer ? withRival(new Rival(Optional.of(peer), fencingNumber, nowMs)) : this;
  }

  /** Notes that a peer gives no orders any more; its last ones do not matter then. */
  Duty rivalLeft(long fencingNumber) {
    boolean last = fencingNumber > 0 && fencingNumber == rival.fencingNumber();
    return last ? withRival(new Rival(rival.peer(), fencingNumber, LONG_AGO_MS)) : this;
  }

  /** Returns whether the duty was held and lapsed, because the store did not answer. */
  boolean lapsed(long nowMs) {
    return held && nowMs >= validUntilMs;
  }

  private Duty withRival(Rival value) {
    return new Duty(generation, held, heldSinceMs, validUntilMs, actsFromMs, nextJoinAtMs, value);
  }
}
