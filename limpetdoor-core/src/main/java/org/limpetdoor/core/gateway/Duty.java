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
 * @param ordersFromMs when the orders of the holder before cannot be near any more
 * @param nextJoinAtMs when the store is asked again
 * @param otherHolder what the last other holder told of itself
 */
record Duty(
    long generation,
    int handovers,
    boolean held,
    long heldSinceMs,
    long validUntilMs,
    long ordersFromMs,
    long nextJoinAtMs,
    OtherHolder otherHolder) {
  /** Nothing was heard from the store yet. */
  static final Duty NONE = new Duty(0, 0, false, 0, 0, 0, 0, OtherHolder.NONE);

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
  private static final long EXPIRY_GRACE_MS = 1_200;

  /** Stands for a time so long ago that it does not matter. */
  private static final long LONG_AGO_MS = -1_000_000;

  /**
   * Another holder, as its digests told.
   *
   * @param peer its name; empty if none was heard
   * @param fencingNumber its last fencing number
   * @param lastReceivedAtMs when it last told that it holds the duty, in monotonic milliseconds
   */
  record OtherHolder(Optional<InstanceId> peer, long fencingNumber, long lastReceivedAtMs) {
    static final OtherHolder NONE = new OtherHolder(Optional.empty(), 0, 0);
  }

  /** Returns whether this instance may give orders now. */
  boolean maySendOrders(long nowMs) {
    return held && !superseded() && nowMs < validUntilMs && nowMs >= ordersFromMs;
  }

  /** Returns whether the duty was held when the store ceased to answer. */
  boolean mayContinueWithoutStore(long nowMs) {
    return held && !superseded() && nowMs >= ordersFromMs;
  }

  /** Follows the store. */
  Duty withStoreAnswer(
      DutyAnswered answer, long nowMs, GatewaySettings settings, boolean otherHolderSilent) {
    if (answer.generation() < generation) {
      return this;
    }
    boolean begins = answer.held() && (!held || nowMs >= validUntilMs);
    return new Duty(
        answer.generation(),
        handoversAfter(answer),
        answer.held(),
        begins ? nowMs : heldSinceMs,
        answer.held() ? answer.requestedAtMs() + TTL_MS - MARGIN_MS : 0,
        begins ? firstOrderMs(answer, nowMs, settings, otherHolderSilent) : ordersFromMs,
        nextJoinAtMs,
        otherHolder);
  }

  /**
   * Returns the handovers of the generation that the store told. If the duty was handed on while
   * the store was away, and the store then deals it to the same member again, its generation is the
   * old one, and engines know a higher fencing number.
   */
  private int handoversAfter(DutyAnswered answer) {
    int own = answer.generation() == generation ? handovers : 0;
    boolean handedOver =
        otherHolder.fencingNumber() / NUMBERS_PER_GENERATION == answer.generation();
    int reported = handedOver ? (int) (otherHolder.fencingNumber() % NUMBERS_PER_GENERATION) : -1;
    return answer.held() && reported >= own ? reported + 1 : own;
  }

  /**
   * Returns when a new holder may give its first order. Two holders may not take turns within a
   * lease, so it waits, unless the one before it is known and silent: it has failed or lost the
   * others, and gives no orders. If none was heard since the start of this process, a holder before
   * it has failed too, or gives way because engines check fencing numbers.
   */
  private long firstOrderMs(
      DutyAnswered answer, long nowMs, GatewaySettings settings, boolean otherHolderSilent) {
    long waitMs = settings.leaseMs() + MARGIN_MS;
    if (otherHolder.fencingNumber() == 0) {
      return settings.fencingEnforced() ? nowMs : PROCESS_START_MS + waitMs;
    }
    if (answer.generation()
        > otherHolder.fencingNumber() / NUMBERS_PER_GENERATION + MAX_GENERATIONS_MISSED) {
      return nowMs + waitMs;
    }
    return otherHolderSilent ? nowMs : otherHolder.lastReceivedAtMs() + waitMs;
  }

  Duty withJoinSent(long nowMs) {
    return new Duty(
        generation,
        handovers,
        held,
        heldSinceMs,
        validUntilMs,
        ordersFromMs,
        nowMs + JOIN_INTERVAL_MS,
        otherHolder);
  }

  /** Returns the fencing number of orders; it rises with each change of the holder. */
  long fencingNumber() {
    return generation * NUMBERS_PER_GENERATION + handovers;
  }

  /** Returns whether the duty may be handed to a peer while the store is away. */
  boolean mayBeHandedOver() {
    return handovers + 1 < NUMBERS_PER_GENERATION;
  }

  /** Takes over the duty from a holder that shuts down while the store is away. */
  Duty withHandover(long fencingNumber, long nowMs) {
    return new Duty(
        fencingNumber / NUMBERS_PER_GENERATION,
        (int) (fencingNumber % NUMBERS_PER_GENERATION),
        true,
        nowMs,
        nowMs,
        nowMs,
        nextJoinAtMs,
        otherHolder);
  }

  /** Gives up the duty, at a shutdown or after an engine has seen a higher fencing number. */
  Duty released() {
    return new Duty(
        generation, handovers, false, heldSinceMs, 0, ordersFromMs, nextJoinAtMs, otherHolder);
  }

  /** Notes that a peer tells that it holds the duty. */
  Duty withHolderReport(InstanceId peer, long fencingNumber, long nowMs) {
    boolean newer = fencingNumber >= otherHolder.fencingNumber();
    return newer ? withOtherHolder(new OtherHolder(Optional.of(peer), fencingNumber, nowMs)) : this;
  }

  /**
   * Notes that a peer gives no orders any more; its last ones do not matter then, and an instance
   * that holds the duty need not wait for them.
   */
  Duty withOtherHolderStopped(long fencingNumber, long nowMs) {
    if (fencingNumber == 0 || fencingNumber != otherHolder.fencingNumber()) {
      return this;
    }
    OtherHolder stopped = new OtherHolder(otherHolder.peer(), fencingNumber, LONG_AGO_MS);
    long firstOrderMs = Math.min(ordersFromMs, nowMs);
    return new Duty(
        generation,
        handovers,
        held,
        heldSinceMs,
        validUntilMs,
        held ? firstOrderMs : ordersFromMs,
        nextJoinAtMs,
        stopped);
  }

  /** Follows a digest of the peer that gave orders last and that gives none now. */
  Duty withPeerNotHolding(InstanceId peer, long nowMs) {
    boolean samePeer = otherHolder.peer().filter(peer::equals).isPresent();
    return samePeer ? withOtherHolderStopped(otherHolder.fencingNumber(), nowMs) : this;
  }

  /** Returns whether a peer has given orders with a higher fencing number. */
  boolean superseded() {
    return otherHolder.fencingNumber() > fencingNumber();
  }

  /** Returns whether the duty was held and lapsed, because the store did not answer. */
  boolean expired(long nowMs) {
    return held && nowMs >= validUntilMs + EXPIRY_GRACE_MS;
  }

  private Duty withOtherHolder(OtherHolder value) {
    return new Duty(
        generation, handovers, held, heldSinceMs, validUntilMs, ordersFromMs, nextJoinAtMs, value);
  }
}
