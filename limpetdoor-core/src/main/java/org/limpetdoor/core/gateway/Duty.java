package org.limpetdoor.core.gateway;

import java.util.Optional;
import org.limpetdoor.core.event.DutyAnswered;
import org.limpetdoor.core.id.InstanceId;

/**
 * The duty to order models and adapters, which one instance holds at a time. The store deals it.
 * While the store is away, a holder that shuts down hands it to a peer.
 *
 * @param generation the last generation that the store told
 * @param handovers times that the duty was handed on since the store dealt that generation
 * @param held whether the store dealt the duty to this instance
 * @param heldSinceMs when this instance first heard so, in monotonic milliseconds
 * @param validUntilMs time until which the store cannot have dealt it to another instance
 * @param actsFromMs when the orders of the holder before cannot be near any more
 * @param nextJoinAtMs when the store is asked again
 * @param rival what the last other holder told of itself
 */
record Duty(
    long generation,
    int handovers,
    boolean held,
    long heldSinceMs,
    long validUntilMs,
    long actsFromMs,
    long nextJoinAtMs,
    Rival rival) {
  /** Nothing was heard from the store yet. */
  static final Duty NONE = new Duty(0, 0, false, 0, 0, 0, 0, Rival.NONE);

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

  /** Fencing numbers of one generation: one for its holder, and one for each handover. */
  private static final int NUMBERS_PER_GENERATION = 64;

  /** The monotonic clock of a process starts at zero. */
  private static final long PROCESS_START_MS = 0;

  /**
   * Time beyond the lapse of the duty for which a holder keeps it without orders, in milliseconds.
   * Peers notice by then that the store answers nobody, and the holder goes on.
   */
  private static final long LAPSE_GRACE_MS = 1_200;

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
    return held && !superseded() && nowMs < validUntilMs && nowMs >= actsFromMs;
  }

  /** Returns whether the duty was held when the store ceased to answer. */
  boolean maySurvive(long nowMs) {
    return held && !superseded() && nowMs >= actsFromMs;
  }

  /** Follows the store. */
  Duty answered(DutyAnswered word, long nowMs, GatewaySettings settings, boolean rivalSilent) {
    if (word.generation() < generation) {
      return this;
    }
    boolean begins = word.held() && (!held || nowMs >= validUntilMs);
    return new Duty(
        word.generation(),
        handoversIn(word),
        word.held(),
        begins ? nowMs : heldSinceMs,
        word.held() ? word.requestedAtMs() + TTL_MS - MARGIN_MS : 0,
        begins ? firstOrderMs(word, nowMs, settings, rivalSilent) : actsFromMs,
        nextJoinAtMs,
        rival);
  }

  /**
   * Returns the handovers of the generation that the store told. If the duty was handed on while
   * the store was away, and the store then deals it to the same member again, its generation is the
   * old one, and engines know a higher fencing number.
   */
  private int handoversIn(DutyAnswered word) {
    int own = word.generation() == generation ? handovers : 0;
    boolean handedOn = rival.fencingNumber() / NUMBERS_PER_GENERATION == word.generation();
    int heard = handedOn ? (int) (rival.fencingNumber() % NUMBERS_PER_GENERATION) : -1;
    return word.held() && heard >= own ? heard + 1 : own;
  }

  /**
   * Returns when a new holder may give its first order. Two holders may not take turns within a
   * lease, so it waits, unless the one before it is known and silent: it has failed or lost the
   * others, and gives no orders. If none was heard since the start of this process, a holder before
   * it has failed too, or gives way because engines check fencing numbers.
   */
  private long firstOrderMs(
      DutyAnswered word, long nowMs, GatewaySettings settings, boolean rivalSilent) {
    long waitMs = settings.leaseMs() + MARGIN_MS;
    if (rival.fencingNumber() == 0) {
      return settings.fencingEnforced() ? nowMs : PROCESS_START_MS + waitMs;
    }
    if (word.generation()
        > rival.fencingNumber() / NUMBERS_PER_GENERATION + MAX_GENERATIONS_MISSED) {
      return nowMs + waitMs;
    }
    return rivalSilent ? nowMs : rival.heardAtMs() + waitMs;
  }

  Duty joining(long nowMs) {
    return new Duty(
        generation,
        handovers,
        held,
        heldSinceMs,
        validUntilMs,
        actsFromMs,
        nowMs + JOIN_INTERVAL_MS,
        rival);
  }

  /** Returns the fencing number of orders; it rises with each change of the holder. */
  long fencingNumber() {
    return generation * NUMBERS_PER_GENERATION + handovers;
  }

  /** Returns whether the duty may be handed to a peer while the store is away. */
  boolean mayBeHandedOn() {
    return handovers + 1 < NUMBERS_PER_GENERATION;
  }

  /** Takes over the duty from a holder that shuts down while the store is away. */
  Duty handed(long fencingNumber, long nowMs) {
    return new Duty(
        fencingNumber / NUMBERS_PER_GENERATION,
        (int) (fencingNumber % NUMBERS_PER_GENERATION),
        true,
        nowMs,
        nowMs,
        nowMs,
        nextJoinAtMs,
        rival);
  }

  /** Gives up the duty, at a shutdown or after an engine has seen a higher fencing number. */
  Duty released() {
    return new Duty(generation, handovers, false, heldSinceMs, 0, actsFromMs, nextJoinAtMs, rival);
  }

  /** Notes that a peer tells that it holds the duty. */
  Duty rivalHeard(InstanceId peer, long fencingNumber, long nowMs) {
    boolean newer = fencingNumber >= rival.fencingNumber();
    return newer ? withRival(new Rival(Optional.of(peer), fencingNumber, nowMs)) : this;
  }

  /**
   * Notes that a peer gives no orders any more; its last ones do not matter then, and an instance
   * that holds the duty need not wait for them.
   */
  Duty rivalLeft(long fencingNumber, long nowMs) {
    if (fencingNumber == 0 || fencingNumber != rival.fencingNumber()) {
      return this;
    }
    Rival left = new Rival(rival.peer(), fencingNumber, LONG_AGO_MS);
    long firstOrderMs = Math.min(actsFromMs, nowMs);
    return new Duty(
        generation,
        handovers,
        held,
        heldSinceMs,
        validUntilMs,
        held ? firstOrderMs : actsFromMs,
        nextJoinAtMs,
        left);
  }

  /** Follows a digest of the peer that gave orders last and that gives none now. */
  Duty rivalCeased(InstanceId peer, long nowMs) {
    boolean same = rival.peer().filter(peer::equals).isPresent();
    return same ? rivalLeft(rival.fencingNumber(), nowMs) : this;
  }

  /** Returns whether a peer has given orders with a higher fencing number. */
  boolean superseded() {
    return rival.fencingNumber() > fencingNumber();
  }

  /** Returns whether the duty was held and lapsed, because the store did not answer. */
  boolean lapsed(long nowMs) {
    return held && nowMs >= validUntilMs + LAPSE_GRACE_MS;
  }

  private Duty withRival(Rival value) {
    return new Duty(
        generation, handovers, held, heldSinceMs, validUntilMs, actsFromMs, nextJoinAtMs, value);
  }
}
